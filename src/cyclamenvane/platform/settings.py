"""Parser of the platform's settings file, which returns `MeshSettings`.

The file has a line `a.b=value` for each field; list items are separated by commas.
Unknown fields are ignored. Every problem is reported with its field:

    read_mesh_settings(Path("/etc/cyclamenvane/local.conf"))
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

from expression import Error, Ok, Result

from ..mesh.model import Address, MeshSettings

__all__ = ["SETTINGS_VARIABLE", "parse_mesh_settings", "read_mesh_settings"]

SETTINGS_VARIABLE = "CYCLAMENVANE_BOOT"
# Of the windows of the retry budget, which is divided into slots, and of account rates.
_MIN_WINDOW_S = 0.1
_MAX_WINDOW_S = 3600.0

# The rest of the memory is for the interpreter, the tasks and the configuration.
_MIN_MEMORY_SHARE, _MAX_MEMORY_SHARE = 0.05, 0.6

_T = TypeVar("_T")


class _Fields:
    """Typed access to the fields of a file; collects the problems found."""

    def __init__(self, text: str) -> None:
        self.problems: list[str] = []
        self.values = self._split(text.splitlines())

    def _split(self, lines: list[str]) -> dict[str, str]:
        values: dict[str, str] = {}
        for number, line in enumerate(lines, start=1):
            if not line.strip() or line.startswith("#"):
                continue
            name, separator, value = line.partition("=")
            if not separator:
                self.problems.append(f"line {number}: expected name=value")
            values[name.strip()] = value.strip()
        return values

    def read(self, name: str, convert: Callable[[str], _T], default: _T) -> _T:
        """Return a converted field, or the default after recording the problem."""
        text = self.values.get(name, "")
        if not text:
            self.problems.append(f"{name}: missing; add a line {name}=...")
            return default
        try:
            return convert(text)
        except (ValueError, OverflowError) as error:
            self.problems.append(f"{name}: invalid value {text!r}: {error}")
            return default


def read_mesh_settings(path: Path) -> Result[MeshSettings, tuple[str, ...]]:
    """Return the settings in a file, or one message for each problem."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((f"{path}: cannot be read: {error}",))
    return parse_mesh_settings(text).map_error(
        lambda problems: tuple(f"{path}: {each}" for each in problems)
    )


def parse_mesh_settings(text: str) -> Result[MeshSettings, tuple[str, ...]]:
    """Return the settings in a text, or one message for each problem."""
    fields = _Fields(text)
    unset: Address = ("", 0)
    # The first internal port is the one for streams between nodes.
    peer_port = fields.read("internalPortRange", _parse_first_port, 0)
    settings = MeshSettings(
        node=fields.read("nodeId", str, ""),
        zone=fields.read("zone", str, ""),
        zones=_read_zones(fields.values),
        service=fields.read("service", str, ""),
        caller_listener=fields.read("listen.outbound", _parse_address, unset),
        readiness_listener=fields.read(
            "listen.readinessAddress", _parse_address, unset
        ),
        admin_listener=fields.read("listen.admin", _parse_address, unset),
        peer_listener=(fields.read("ip", str, ""), peer_port),
        target=fields.read("upstreamAddress", _parse_address, unset),
        store=fields.read("platform.address", _parse_address, unset),
        memory_bytes=fields.read("limits.memoryLimitMb", _parse_megabytes, 0),
        max_open_files=fields.read("limits.maxOpenFiles", int, 0),
        **_read_bounds(fields),
        first_start=fields.values.get("bootstrap") == "true",
        **_read_own_limits(fields),
    )
    if fields.problems:
        return Error(tuple(fields.problems))
    return Ok(settings)


def _read_bounds(fields: _Fields) -> dict:
    bounds = dict(
        each.strip().partition("=")[::2]
        for each in fields.read("bounds", str, "").split(",")
        if each.strip()
    )
    fields.values.update({f"bounds.{name}": value for name, value in bounds.items()})
    return {
        "grace_period": fields.read("bounds.gracePeriodS", _parse_seconds, timedelta()),
        "store_recovery_time": fields.read(
            "bounds.stableWindowS", _parse_seconds, timedelta()
        ),
        # Starts when the target's announcement is acknowledged.
        "drain_timeout": fields.read(
            "bounds.drainTimeoutS", _parse_seconds, timedelta()
        ),
        "retry_budget_ratio": fields.read(
            "bounds.retryBudgetRatio", _parse_amount, 0.0
        ),
        "retry_budget_slack": fields.read("bounds.budgetSlack", _parse_amount, 0.0),
        "retry_budget_window": fields.read(
            "bounds.retryWindowS", _parse_window, timedelta(seconds=1)
        ),
        **_read_account_bounds(fields),
    }


def _read_account_bounds(fields: _Fields) -> dict:
    """Return the bounds of client accounts that the file has."""
    names: dict[str, tuple[str, Callable[[str], object]]] = {
        "strictRevocation": ("strict_revocation", _parse_flag),
        "revocationS": ("revocation_time", _parse_seconds),
        "quotaWindowS": ("quota_window", _parse_window),
        "quotaOvershoot": ("quota_overshoot", _parse_amount),
        "quotaTolerance": ("quota_tolerance", _parse_amount),
    }
    return {
        field: fields.read(f"bounds.{name}", parse, None)
        for name, (field, parse) in names.items()
        if f"bounds.{name}" in fields.values
    }


def _read_own_limits(fields: _Fields) -> dict:
    """Return the limits of our own that the file has; the platform sets none."""
    name = "limits.messageMemoryShare"
    if name not in fields.values:
        return {}
    return {"message_memory_share": fields.read(name, _parse_memory_share, 0.0)}


def _read_zones(values: Mapping[str, str]) -> tuple[str, ...]:
    prefix = "zones."
    return tuple(name[len(prefix) :] for name in values if name.startswith(prefix))


def _parse_address(text: str) -> Address:
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError("expected IP:PORT")
    return host, int(port)


def _parse_first_port(text: str) -> int:
    return int(text.split(",")[0])


def _parse_seconds(text: str) -> timedelta:
    return timedelta(seconds=float(text))


def _parse_window(text: str) -> timedelta:
    seconds = _parse_amount(text)
    if not _MIN_WINDOW_S <= seconds <= _MAX_WINDOW_S:
        raise ValueError(f"expected {_MIN_WINDOW_S} to {_MAX_WINDOW_S}")
    return timedelta(seconds=seconds)


def _parse_amount(text: str) -> float:
    amount = float(text)
    if not 0 <= amount < math.inf:
        raise ValueError("expected a number that is not negative")
    return amount


def _parse_memory_share(text: str) -> float:
    share = float(text)
    if not _MIN_MEMORY_SHARE <= share <= _MAX_MEMORY_SHARE:
        raise ValueError(f"expected {_MIN_MEMORY_SHARE} to {_MAX_MEMORY_SHARE}")
    return share


def _parse_flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError("expected true or false")
    return text == "true"


def _parse_megabytes(text: str) -> int:
    return int(float(text) * 1024 * 1024)
