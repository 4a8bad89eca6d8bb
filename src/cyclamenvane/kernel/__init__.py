"""Plug-in hooks, and the registry that loads plug-ins."""

from __future__ import annotations

from .hook import PROJECT, hookimpl, hookspec
from .registry import load_plugins

__all__ = ["PROJECT", "hookimpl", "hookspec", "load_plugins"]
