"""The settings of a node process."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from typing import Annotated

from .check import Between, Pattern

__all__ = [
    "Address",
    "KeySettings",
    "LogSettings",
    "NodeSettings",
    "PlatformSettings",
    "Settings",
    "split_address",
]


def split_address(text: str) -> tuple[str, int]:
    """Split `host:port` into host and port; raise ValueError if invalid."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number <= 65535:
        raise ValueError(f"port {number} is out of range")
    return host, number


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


Address = Annotated[
    str, Pattern(_is_address, "an IP address and port, as '10.0.0.5:80'")
]
_Ip = Annotated[str, Pattern(_is_ip, "an IP address, as '10.0.0.5'")]
_Port = Annotated[int, Between(0, 65535)]
_Key = Annotated[str, Pattern(lambda text: len(text) >= 16, "16 characters or more")]
_Name = Annotated[str, Pattern(lambda text: 0 < len(text) <= 64, "1 to 64 characters")]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Zone, listening addresses, seed nodes and resource limits of a node.

    Port 0 selects any free port. `seeds` are stream addresses of other nodes, used
    if the platform cannot be read at start.
    """

    availability_zone: _Name
    host: _Ip
    region: _Name = "default"
    stream_port: _Port = 7400
    gossip_port: _Port = 7400
    front_port: _Port = 7480
    control_port: _Port = 7481
    seeds: tuple[Address, ...] = ()
    front_loops: Annotated[int, Between(1, 64)] = 8
    front_threads: Annotated[int, Between(4, 2048)] = 256
    front_connections: Annotated[int, Between(16, 65536)] = 2048
    uploads: Annotated[int, Between(1, 1024)] = 64
    shutdown_s: Annotated[int, Between(1, 3600)] = 60


@dataclass(frozen=True, slots=True)
class KeySettings:
    """The shared secrets of nodes, callers, operators and targets."""

    nodes: _Key
    callers: _Key
    operators: _Key
    targets: _Key


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The kind of platform client, the platform's address and the timeout."""

    kind: _Name = "memory"
    address: Address = "127.0.0.1:7490"
    timeout_ms: Annotated[int, Between(10, 60_000)] = 1000


@dataclass(frozen=True, slots=True)
class LogSettings:
    """The destination of JSON log lines; `-` is standard error."""

    path: str = "-"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings in a node's settings file."""

    node: NodeSettings
    keys: KeySettings
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    log: LogSettings = field(default_factory=LogSettings)
