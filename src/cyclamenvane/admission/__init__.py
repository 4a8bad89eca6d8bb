"""Admission control: which calls a target receives, in which order."""

from __future__ import annotations

from .gate import ADMITTED, QUEUED, Gate, GateState
from .level import (
    LEVEL_HOLD_TIME,
    LEVEL_RECOVERY_TIME,
    AdmissionLevel,
    LevelTuning,
    recover_level,
)
from .limit import ConcurrencyLimit, ServiceTime
from .queue import AdmissionQueue, WaitingCall
from .resend import RESEND_WINDOW, ResendLimiter

__all__ = [
    "ADMITTED",
    "LEVEL_HOLD_TIME",
    "LEVEL_RECOVERY_TIME",
    "QUEUED",
    "RESEND_WINDOW",
    "AdmissionLevel",
    "AdmissionQueue",
    "ConcurrencyLimit",
    "Gate",
    "GateState",
    "LevelTuning",
    "ResendLimiter",
    "ServiceTime",
    "WaitingCall",
    "recover_level",
]
