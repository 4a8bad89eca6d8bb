"""Small stand-ins for a platform and for targets: demonstration, tests, benches."""

from __future__ import annotations

from .platform import PlatformStandIn
from .target import TargetStandIn

__all__ = ["PlatformStandIn", "TargetStandIn"]
