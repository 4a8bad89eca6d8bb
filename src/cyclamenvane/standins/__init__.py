"""Platform and target stand-ins for the demonstration, tests and benchmarks."""

from __future__ import annotations

from .platform import PlatformStandIn
from .target import TargetStandIn

__all__ = ["PlatformStandIn", "TargetStandIn"]
