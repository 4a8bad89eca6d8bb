"""Build the package; with CYCLAMENVANE_COMPILE set, compile the call path with mypyc.

The modules are plain Python and also run interpreted. Compiled, they use about two
thirds of the processor time, see docs/design/platform.md.
"""

from __future__ import annotations

import os
from pathlib import Path

from setuptools import Extension, setup

_COMPILE_VARIABLE = "CYCLAMENVANE_COMPILE"
_PACKAGE = Path("src/cyclamenvane")
# Modules on the call path, without those that define data classes with slots.
_COMPILED_MODULES = (
    "accounts/answers",
    "accounts/balance",
    "accounts/bucket",
    "accounts/cache",
    "accounts/client",
    "accounts/exchange",
    "accounts/fleet",
    "accounts/grants",
    "accounts/holders",
    "accounts/ranks",
    "accounts/silence",
    "accounts/start",
    "accounts/tokens",
    "admission/level",
    "admission/queue",
    "clock",
    "cost/estimate",
    "cost/self_time",
    "cost/speed",
    "mesh/acceptor",
    "mesh/account_rates",
    "mesh/attempts",
    "mesh/body_buffer",
    "mesh/budget",
    "mesh/call",
    "mesh/call_factory",
    "mesh/caller_pipeline",
    "mesh/caller_server",
    "mesh/caller_session",
    "mesh/connection",
    "mesh/directory",
    "mesh/descriptors",
    "mesh/dispatch",
    "mesh/forward",
    "mesh/frame_reader",
    "mesh/frames",
    "mesh/gate",
    "mesh/heads",
    "mesh/in_flight",
    "mesh/levels",
    "mesh/load",
    "mesh/memory",
    "mesh/message",
    "mesh/metric",
    "mesh/outlier",
    "mesh/peer_pool",
    "mesh/peer_server",
    "mesh/placement",
    "mesh/rank",
    "mesh/rate_limit",
    "mesh/report",
    "mesh/response",
    "mesh/response_size",
    "mesh/target_proxy",
    "mesh/upstream",
    "mesh/verdict",
    "mesh/watch",
    "shedding/demand",
    "shedding/profile",
    "shedding/share",
    "shedding/shedder",
    "shedding/shortage",
    "shedding/window",
)
_MYPY_OPTIONS = ("--ignore-missing-imports", "--follow-imports=silent")


def find_extensions() -> list[Extension]:
    """Return the extensions to build, none unless CYCLAMENVANE_COMPILE is set."""
    if not os.environ.get(_COMPILE_VARIABLE):
        return []
    from mypyc.build import mypycify

    paths = [str(_PACKAGE / f"{name}.py") for name in _COMPILED_MODULES]
    return mypycify([*_MYPY_OPTIONS, *paths], target_dir="target/mypyc")


setup(ext_modules=find_extensions())
