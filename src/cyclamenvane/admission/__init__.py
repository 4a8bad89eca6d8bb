"""Admission: what a target is given, in which order, and what is refused."""

from __future__ import annotations

from .gate import ADMITTED, QUEUED, Gate, GateState
from .level import LEVEL_HOLDS, LEVEL_REGAIN, AdmissionLevel, LevelTuning, regain_level
from .limit import ConcurrencyLimit, ServiceTime
from .order import Waiting, WaitingList
from .resend import RESEND_WINDOW, ResendGuard

__all__ = [
    "ADMITTED",
    "LEVEL_HOLDS",
    "LEVEL_REGAIN",
    "QUEUED",
    "RESEND_WINDOW",
    "AdmissionLevel",
    "ConcurrencyLimit",
    "Gate",
    "GateState",
    "LevelTuning",
    "ResendGuard",
    "ServiceTime",
    "Waiting",
    "WaitingList",
    "regain_level",
]
