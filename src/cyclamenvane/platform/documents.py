"""Decodes the platform's configuration and heartbeats, both JSON documents.

Entries that other writers left behind may lack fields or carry other types.
Such an entry decodes to an error with a reason, never to a partial value.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any

import orjson
from expression import Error, Ok, Result

from ..mesh.model import (
    Address,
    CallerLimits,
    Configuration,
    Heartbeat,
    Incarnation,
    Route,
    RouteShare,
    ServicePolicy,
)

__all__ = ["decode_configuration", "decode_heartbeat"]

_IDEMPOTENT = {"idempotent": True, "non_idempotent": False, "upload": False}
_DRAINING = {"healthy": False, "draining": True}
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Return the configuration in the bytes of its row, or what is wrong."""
    try:
        document = orjson.loads(data)
        services = [_decode_service(each) for each in _take(document, "services", list)]
        routes = [_decode_route(each) for each in _take(document, "routes", list)]
        return Ok(
            Configuration(
                version=_decode_version(document["version"]),
                routes=tuple(routes),
                services={service.name: service for service in services},
                limits=_decode_limits(document["limits"]),
                source=data,
            )
        )
    except _MALFORMED as error:
        return Error(f"configuration cannot be read: {error!r}")


def decode_heartbeat(instance: str, data: bytes) -> Result[Heartbeat, str]:
    """Return the heartbeat that a target sent under its id, or what is wrong."""
    try:
        document = orjson.loads(data)
        # "info" never changes within an incarnation, "status" with each heartbeat.
        info, status = document["info"], document["status"]
        return Ok(
            Heartbeat(
                incarnation=Incarnation(_take(document, "born", int), instance),
                service=_take(info, "service", str),
                address=_decode_address(document["address"]),
                zone=_take(info, "zone", str),
                slots=_decode_slots(info["capacity"]),
                draining=_DRAINING[status["state"]],
                sequence=_take(status, "sequence", int),
                warmup=_decode_seconds(status["warmupLeftS"]),
            )
        )
    except _MALFORMED as error:
        return Error(f"heartbeat cannot be read: {error!r}")


def _decode_route(document: dict[str, Any]) -> Route:
    # "service" names the only service; "weightedServices" several with weights.
    if "service" in document:
        shares = (RouteShare(_take(document, "service", str), 1.0),)
    else:
        parts = document["weightedServices"]
        shares = tuple(
            RouteShare(_take(each, "service", str), float(each["weight"]))
            for each in parts
        )
    if not shares:
        raise ValueError("a route names no service")
    return Route(
        name=_take(document, "name", str),
        host=_take(document, "host", str).lower(),
        prefix=_take(document, "prefix", str),
        idempotent=_IDEMPOTENT[document["routeType"]],
        timeout=_decode_seconds(document["timeoutS"]),
        target_latency=_decode_seconds(document["targetLatencyS"]),
        priority=_take(document, "priority", int),
        shares=shares,
        # Counts targets, not sends: one target may be sent to once only.
        max_targets=_take(document, "maxAttempts", int),
    )


def _decode_service(document: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=_take(document, "name", str),
        max_connections=_take(document, "maxConnections", int),
        health_path=_take(document, "healthPath", str),
    )


def _decode_limits(document: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=_take(document, "maxHeaderBytes", int),
        body_bytes=_take(document, "maxBodyBytes", int),
        header_timeout=_decode_seconds(document["headerTimeoutS"]),
        idle_timeout=_decode_seconds(document["idleTimeoutS"]),
    )


def _take(document: dict[str, Any], name: str, kind: type) -> Any:
    value = document[name]
    # bool is a subclass of int, but no number on the wire.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{name} is {type(value).__name__}")
    return value


def _decode_version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"version {text!r} does not start with r")
    return int(text[1:])


def _decode_slots(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"capacity is {value!r}")
    return value


def _decode_seconds(value: Any) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected seconds, found {value!r}")
    return timedelta(seconds=value)


def _decode_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"address {text!r} has no host")
    return host, int(port)
