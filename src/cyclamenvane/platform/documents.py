"""Decoders for the platform's configuration and heartbeats, both JSON documents.

Entries from other writers may lack fields or hold values of other types.
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
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Return the configuration decoded from its row, or an error message."""
    try:
        document = orjson.loads(data)
        services = [
            _decode_service(each) for each in _get_typed(document, "services", list)
        ]
        routes = [_decode_route(each) for each in _get_typed(document, "routes", list)]
        return Ok(
            Configuration(
                version=_decode_version(document["version"]),
                routes=tuple(routes),
                services={service.name: service for service in services},
                limits=_decode_limits(document["limits"]),
                encoded=data,
            )
        )
    except _DECODE_ERRORS as error:
        return Error(f"cannot decode configuration: {error!r}")


def decode_heartbeat(instance: str, data: bytes) -> Result[Heartbeat, str]:
    """Return the heartbeat that the target `instance` sent, or an error message."""
    try:
        document = orjson.loads(data)
        # "info" is fixed within an incarnation, "status" changes with each heartbeat.
        info, status = document["info"], document["status"]
        return Ok(
            Heartbeat(
                incarnation=Incarnation(_get_typed(document, "born", int), instance),
                service=_get_typed(info, "service", str),
                address=_decode_address(document["address"]),
                zone=_get_typed(info, "zone", str),
                slots=_decode_slots(info["capacity"]),
                draining=_DRAINING[status["state"]],
                sequence=_get_typed(status, "sequence", int),
                warmup=_decode_seconds(status["warmupLeftS"]),
            )
        )
    except _DECODE_ERRORS as error:
        return Error(f"cannot decode heartbeat: {error!r}")


def _decode_route(document: dict[str, Any]) -> Route:
    # "service" holds a single service, "weightedServices" several with weights.
    if "service" in document:
        shares = (RouteShare(_get_typed(document, "service", str), 1.0),)
    else:
        parts = document["weightedServices"]
        shares = tuple(
            RouteShare(_get_typed(each, "service", str), float(each["weight"]))
            for each in parts
        )
    if not shares:
        raise ValueError("the route has no service")
    return Route(
        name=_get_typed(document, "name", str),
        host=_get_typed(document, "host", str).lower(),
        prefix=_get_typed(document, "prefix", str),
        idempotent=_IDEMPOTENT[document["routeType"]],
        timeout=_decode_seconds(document["timeoutS"]),
        target_latency=_decode_seconds(document["targetLatencyS"]),
        priority=_get_typed(document, "priority", int),
        shares=shares,
        # Counts targets, not sends: each target may be tried only once.
        max_targets=_get_typed(document, "maxAttempts", int),
    )


def _decode_service(document: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=_get_typed(document, "name", str),
        max_connections=_get_typed(document, "maxConnections", int),
        health_path=_get_typed(document, "healthPath", str),
    )


def _decode_limits(document: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=_get_typed(document, "maxHeaderBytes", int),
        body_bytes=_get_typed(document, "maxBodyBytes", int),
        header_timeout=_decode_seconds(document["headerTimeoutS"]),
        idle_timeout=_decode_seconds(document["idleTimeoutS"]),
    )


def _get_typed(document: dict[str, Any], name: str, kind: type) -> Any:
    value = document[name]
    # bool is a subclass of int, but a JSON boolean is not a number.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{name} has type {type(value).__name__}")
    return value


def _decode_version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"version {text!r} does not start with r")
    return int(text[1:])


def _decode_slots(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"invalid capacity: {value!r}")
    return value


def _decode_seconds(value: Any) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number of seconds, got {value!r}")
    return timedelta(seconds=value)


def _decode_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"address {text!r} has no host")
    return host, int(port)
