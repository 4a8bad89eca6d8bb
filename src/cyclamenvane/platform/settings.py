"""Reads the platform's settings file into `MeshSettings`.

The file has a line `a.b=value` for each field; lists are joined by commas.
Unknown fields are ignored. Every problem is reported with its field:

    read_mesh_settings(Path("/etc/cyclamenvane/local.conf"))
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

from expression import Error, Ok, Result

from ..mesh.model import Address, MeshSettings

__all__ = ["SETTINGS_VARIABLE", "parse_mesh_settings", "read_mesh_settings"]

SETTINGS_VARIABLE = "CYCLAMENVANE_BOOT"

_T = TypeVar("_T")


class _Fields:
    """Typed access to the fields of a file; problems are collected."""

    def __init__(self, text: str) -> None:
        self.problems: list[str] = []
        self.values = self._split(text.splitlines())

    def _split(self, lines: list[str]) -> dict[str, str]:
        values: dict[str, str] = {}
        for number, line in enumerate(lines, start=1):
            if not line.strip() or line.startswith("#"):
                continue
            name, found, value = line.partition("=")
            if not found:
                self.problems.append(f"line {number}: expected name=value")
            values[name.strip()] = value.strip()
        return values

    def take(self, name: str, convert: Callable[[str], _T], default: _T) -> _T:
        """Return a field converted, or the default after noting the problem."""
        text = self.values.get(name, "")
        if not text:
            self.problems.append(f"{name}: missing; add a line {name}=...")
            return default
        try:
            return convert(text)
        except ValueError as error:
            self.problems.append(f"{name}: {text!r} cannot be used: {error}")
            return default


def read_mesh_settings(path: Path) -> Result[MeshSettings, tuple[str, ...]]:
    """Return the settings in a file, or one line of text for each problem."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((f"{path}: cannot be read: {error}",))
    return parse_mesh_settings(text).map_error(
        lambda problems: tuple(f"{path}: {each}" for each in problems)
    )


def parse_mesh_settings(text: str) -> Result[MeshSettings, tuple[str, ...]]:
    """Return the settings in a text, or one line of text for each problem."""
    fields = _Fields(text)
    none: Address = ("", 0)
    # The first internal port carries the streams between nodes.
    peer_port = fields.take("internalPortRange", _first_port, 0)
    settings = MeshSettings(
        node=fields.take("nodeId", str, ""),
        zone=fields.take("zone", str, ""),
        zones=_read_zones(fields.values),
        service=fields.take("service", str, ""),
        caller_listener=fields.take("listen.outbound", _parse_address, none),
        readiness_listener=fields.take("listen.readinessAddress", _parse_address, none),
        admin_listener=fields.take("listen.admin", _parse_address, none),
        peer_listener=(fields.take("ip", str, ""), peer_port),
        target=fields.take("upstreamAddress", _parse_address, none),
        store=fields.take("platform.address", _parse_address, none),
        store_reads_per_s=fields.take("platform.readsPerS", float, 0.0),
        memory_bytes=fields.take("limits.memoryLimitMb", _megabytes, 0),
        max_open_files=fields.take("limits.maxOpenFiles", int, 0),
        **_read_bounds(fields),
    )
    if fields.problems:
        return Error(tuple(fields.problems))
    return Ok(settings)


def _read_bounds(fields: _Fields) -> dict:
    bounds = dict(
        each.strip().partition("=")[::2]
        for each in fields.take("bounds", str, "").split(",")
        if each.strip()
    )
    fields.values.update({f"bounds.{name}": value for name, value in bounds.items()})
    return {
        "grace_period": fields.take("bounds.gracePeriodS", _seconds, timedelta()),
        # Counted from the acknowledgement of the target's announcement.
        "drain_timeout": fields.take("bounds.drainTimeoutS", _seconds, timedelta()),
        "retry_budget_ratio": fields.take("bounds.retryBudgetRatio", float, 0.0),
        "retry_budget_slack": fields.take("bounds.budgetSlack", float, 0.0),
        "retry_budget_window": fields.take(
            "bounds.retryWindowS", _seconds, timedelta()
        ),
    }


def _read_zones(values: Mapping[str, str]) -> tuple[str, ...]:
    prefix = "zones."
    return tuple(name[len(prefix) :] for name in values if name.startswith(prefix))


def _parse_address(text: str) -> Address:
    host, found, port = text.rpartition(":")
    if not found or not host:
        raise ValueError("expected IP:PORT")
    return host, int(port)


def _first_port(text: str) -> int:
    return int(text.split(",")[0])


def _seconds(text: str) -> timedelta:
    return timedelta(seconds=float(text))


def _megabytes(text: str) -> int:
    return int(float(text) * 1024 * 1024)
