"""Collects the plug-ins that registered themselves."""

from __future__ import annotations

import pluggy

from . import hook

__all__ = ["load_plugins"]


def load_plugins() -> pluggy.PluginManager:
    """Return a manager that holds every registered plug-in."""
    manager = pluggy.PluginManager(hook.PROJECT)
    manager.add_hookspecs(hook)
    manager.load_setuptools_entrypoints(hook.PROJECT)
    return manager
