"""Loader of the registered plug-ins."""

from __future__ import annotations

import pluggy

from . import hook

__all__ = ["load_plugins"]


def load_plugins() -> pluggy.PluginManager:
    """Return a plug-in manager with every registered plug-in loaded."""
    manager = pluggy.PluginManager(hook.PROJECT)
    manager.add_hookspecs(hook)
    manager.load_setuptools_entrypoints(hook.PROJECT)
    return manager
