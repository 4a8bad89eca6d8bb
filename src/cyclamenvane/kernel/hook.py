"""Hooks that plug-ins implement.

A plug-in is a module or object that implements some of these hooks and is
registered through an entry point in the group `cyclamenvane`. The plug-ins that
ship with the library are registered in the same way. Hooks are called only at
startup and their results are kept, so no hook runs while a call is handled.

    from cyclamenvane.kernel import hookimpl

    @hookimpl
    def cyclamenvane_open_platform(settings, clock):
        if settings.kind == "custom":
            return MyPlatform(settings.address, clock)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pluggy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cleo.commands.command import Command

    from ..clock import Clock
    from ..settings import PlatformSettings
    from ..store import Platform

__all__ = ["PROJECT", "hookimpl", "hookspec"]

PROJECT = "cyclamenvane"
hookspec = pluggy.HookspecMarker(PROJECT)
hookimpl = pluggy.HookimplMarker(PROJECT)


@hookspec(firstresult=True)
def cyclamenvane_open_platform(
    settings: PlatformSettings, clock: Clock
) -> Platform | None:
    """Return the platform's table and object store, or None for other kinds."""


@hookspec
def cyclamenvane_commands() -> Sequence[Command]:
    """Return commands to add to the command line."""
