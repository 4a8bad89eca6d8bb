"""Overload control for service call graphs.

`Node` runs next to a target; `Caller` makes calls from a service that embeds the
library. The subpackages hold the components of both. They are imported on first
use, so that a daemon loads only the packages it needs.
"""

from __future__ import annotations

import importlib
from typing import Any

__all__ = [
    "Caller",
    "CallerSettings",
    "Clock",
    "Importance",
    "Node",
    "Outcome",
    "Refusal",
    "Response",
    "Settings",
    "SystemClock",
    "read_settings",
]

_MODULES = {
    "Response": "calls",
    "Caller": "caller",
    "CallerSettings": "caller",
    "Clock": "clock",
    "Importance": "calls",
    "Node": "node",
    "Outcome": "calls",
    "Refusal": "calls",
    "Settings": "settings",
    "SystemClock": "clock",
    "read_settings": "settings",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f".{_MODULES[name]}", __name__)
    return getattr(module, name)
