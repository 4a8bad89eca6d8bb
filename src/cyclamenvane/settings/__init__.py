"""The settings file of a node: its model, checks and reader."""

from __future__ import annotations

from .check import Between, OneOf, Pattern, Problem, build_checked
from .model import (
    Address,
    KeySettings,
    LogSettings,
    NodeSettings,
    PlatformSettings,
    Settings,
    split_address,
)
from .reader import SettingsError, parse_settings, read_settings

__all__ = [
    "Address",
    "Between",
    "KeySettings",
    "LogSettings",
    "NodeSettings",
    "OneOf",
    "Pattern",
    "PlatformSettings",
    "Problem",
    "Settings",
    "SettingsError",
    "build_checked",
    "parse_settings",
    "read_settings",
    "split_address",
]
