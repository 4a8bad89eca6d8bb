"""The kernel: hooks for plug-ins, and the registry that finds them."""

from __future__ import annotations

from .hook import PROJECT, hookimpl, hookspec
from .registry import load_plugins

__all__ = ["PROJECT", "hookimpl", "hookspec", "load_plugins"]
