"""The daemon: its settings, its node and its admin port."""

from fulmarrudder.node.errors import NodeError, SettingsError
from fulmarrudder.node.settings import Settings, load_settings, parse_settings

__all__ = [
    "NodeError",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
