"""The cost of a call: what targets take for it, and when a target would complete it.

`mesh` imports this package, and nothing here imports `mesh`.
"""

from .estimate import Completion, TargetLoad, estimate_completion
from .self_time import NestedTime, SelfTimes
from .speed import ServiceSpeeds, SpeedBook, TargetSpeed

__all__ = [
    "Completion",
    "NestedTime",
    "SelfTimes",
    "ServiceSpeeds",
    "SpeedBook",
    "TargetLoad",
    "TargetSpeed",
    "estimate_completion",
]
