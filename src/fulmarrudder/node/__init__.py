"""The daemon: settings, the node that joins the pipelines, the admin port."""

from fulmarrudder.node.errors import NodeError, SettingsError
from fulmarrudder.node.settings import Settings, load_settings, parse_settings

__all__ = [
    "NodeError",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
