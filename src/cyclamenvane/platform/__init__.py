"""The users' platform: its names, formats and calls, and nothing that decides.

`make_adapter` returns what a `MeshNode` needs to run there, and
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
