"""Builds the package; with CYCLAMENVANE_COMPILE set, the way of a call is compiled.

The modules are plain Python. Compiled by mypyc they do the same for about two
thirds of the processor time, see docs/design/platform.md.
"""

from __future__ import annotations

import os
from pathlib import Path

from setuptools import Extension, setup

_VARIABLE = "CYCLAMENVANE_COMPILE"
_PACKAGE = Path("src/cyclamenvane")
# What a call passes through. Modules of data classes with slots stay as they are.
_COMPILED = (
    "admission/level",
    "admission/order",
    "clock",
    "mesh/acceptor",
    "mesh/budget",
    "mesh/caller_server",
    "mesh/connection",
    "mesh/directory",
    "mesh/dispatch",
    "mesh/forward",
    "mesh/frames",
    "mesh/gate",
    "mesh/heads",
    "mesh/in_flight",
    "mesh/levels",
    "mesh/message",
    "mesh/metric",
    "mesh/peer_server",
    "mesh/peering",
    "mesh/placement",
    "mesh/rank",
    "mesh/report",
    "mesh/target_proxy",
    "mesh/upstream",
    "mesh/watch",
)
_OPTIONS = ("--ignore-missing-imports", "--follow-imports=silent")


def find_extensions() -> list[Extension]:
    """Return the extensions to build, none unless they are asked for."""
    if not os.environ.get(_VARIABLE):
        return []
    from mypyc.build import mypycify

    paths = [str(_PACKAGE / f"{name}.py") for name in _COMPILED]
    return mypycify([*_OPTIONS, *paths], target_dir="target/mypyc")


setup(ext_modules=find_extensions())
