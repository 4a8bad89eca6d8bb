"""Overload control for service call graphs.

`Node` is the process beside a target, `Caller` the way in for a service that
embeds the library. The packages below hold the parts both are made of.
"""

from __future__ import annotations

from .caller import Caller, CallerSettings
from .calls import Answer, Importance, Outcome, Refusal
from .clock import Clock, SystemClock
from .node import Node
from .settings import Settings, read_settings

__all__ = [
    "Answer",
    "Caller",
    "CallerSettings",
    "Clock",
    "Importance",
    "Node",
    "Outcome",
    "Refusal",
    "Settings",
    "SystemClock",
    "read_settings",
]
