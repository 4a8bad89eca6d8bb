"""Adapter for the users' platform: names, formats and calls, no decision logic.

`make_adapter` returns the adapter that a `MeshNode` runs with, and
`read_mesh_settings` reads the settings file that the platform provides.
"""

from __future__ import annotations

from .adapter import make_adapter
from .settings import SETTINGS_VARIABLE, parse_mesh_settings, read_mesh_settings

__all__ = [
    "SETTINGS_VARIABLE",
    "make_adapter",
    "parse_mesh_settings",
    "read_mesh_settings",
]
