"""Embedded caller for services that use the library."""

from __future__ import annotations

from .caller import Caller, CallerSettings

__all__ = ["Caller", "CallerSettings"]
