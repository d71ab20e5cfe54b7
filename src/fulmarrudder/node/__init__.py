"""The daemon: its settings, its node and its admin port."""

from fulmarrudder.node.errors import NodeError, SettingsError

__all__ = ["NodeError", "SettingsError"]
