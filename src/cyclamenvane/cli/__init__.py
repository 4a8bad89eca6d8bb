"""Command line of cyclamenvane."""

from __future__ import annotations

from .application import main, make_application

__all__ = ["main", "make_application"]
