"""Decoders for the platform's configuration and heartbeats, both JSON documents.

Entries from other writers may lack fields or hold values of other types. Such a
heartbeat decodes to an error with a reason, never to a partial value.

A configuration may have parts that this version does not know. A part that concerns
one route affects that route only, see docs/design/configuration.md; the
configuration is an error only if it cannot tell which requests it applies to.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

import orjson
from expression import Error, Ok, Result

from ..mesh.model import (
    MAX_PORT,
    MAX_SLOTS,
    MAX_TIME_MS,
    Address,
    CallerLimits,
    Configuration,
    Heartbeat,
    Incarnation,
    Route,
    RouteShare,
    ServicePolicy,
)
from .accounts import decode_accounts
from .problems import Problem

__all__ = [
    "decode_configuration",
    "decode_document",
    "decode_heartbeat",
    "parse_document",
]

# Large responses may be repeated, large requests may not.
_IDEMPOTENT = {
    "idempotent": True,
    "egress_download": True,
    "non_idempotent": False,
    "upload": False,
}
_DRAINING = {"healthy": False, "draining": True}
_DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,  # a message that quotes a deeply nested value
)

_T = TypeVar("_T")
# Ten days. A longer duration may overflow when it is added to a time, or polled for.
_MAX_SECONDS = 864_000
_MAX_VERSION = 2**63 - 1  # of a number between nodes


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Return the configuration decoded from its row, or an error message.

    Parts that cannot be decoded are listed in its `problems`.
    """
    document = parse_document(data)
    if document.is_error():
        return Error(document.error)
    return decode_document(document.ok, data).map(lambda decoded: decoded[0])


def parse_document(data: bytes) -> Result[Any, str]:
    """Return the JSON value of a row, or an error message that quotes none of it."""
    try:
        return Ok(orjson.loads(data))
    except _DECODE_ERRORS as error:
        return Error(f"cannot decode configuration: {error!r}")


def decode_document(
    document: Any, encoded: bytes
) -> Result[tuple[Configuration, tuple[Problem, ...]], str]:
    """Return the configuration of a JSON value and its problems with their places."""
    problems: list[Problem] = []
    try:
        accounts, keys = decode_accounts(document, problems)
        routes = tuple(
            _decode_at(f"routes[{number}]", _decode_route, each, problems)
            for number, each in enumerate(_get_typed(document, "routes", list))
        )
        configuration = Configuration(
            version=_decode_version(document["version"]),
            routes=routes,
            services=_decode_services(document.get("services"), problems),
            limits=_decode_at(
                "limits", _decode_limits, document.get("limits"), problems
            ),
            encoded=encoded,
            problems=tuple(problem.text for problem in problems),
            accounts=accounts,
            keys=keys,
        )
        return Ok((configuration, tuple(problems)))
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
                incarnation=Incarnation(_decode_start(document), instance),
                service=_get_typed(info, "service", str),
                address=_decode_address(document["address"]),
                zone=_get_typed(info, "zone", str),
                slots=_decode_count(info["capacity"], MAX_SLOTS),
                draining=_DRAINING[status["state"]],
                sequence=_get_typed(status, "sequence", int),
                warmup=_decode_seconds(status["warmupLeftS"]),
            )
        )
    except _DECODE_ERRORS as error:
        return Error(f"cannot decode heartbeat: {error!r}")


def _decode_at(
    place: str,
    decode: Callable[[Any, list[str]], _T],
    document: Any,
    problems: list[Problem],
) -> _T:
    texts: list[str] = []
    value = decode(document, texts)
    problems += [Problem(place, text) for text in texts]
    return value


def _decode_route(document: dict[str, Any], problems: list[str]) -> Route:
    """Return a route; one that cannot be decoded refuses the requests it matches.

    Without it, the route with the next shorter prefix would run them.
    """
    host = _get_typed(document, "host", str).lower()
    prefix = _get_typed(document, "prefix", str)
    try:
        return _decode_matched_route(host, prefix, document, problems)
    except _DECODE_ERRORS as error:
        problems.append(f"route {host}{prefix}: requests are refused: {error!r}")
        return Route(
            name=f"{host}{prefix}",
            host=host,
            prefix=prefix,
            idempotent=False,
            timeout=timedelta(),
            target_latency=timedelta(),
            priority=0,
            shares=(),
            max_targets=0,
            public=document.get("public") is True,
        )


def _decode_matched_route(
    host: str, prefix: str, document: dict[str, Any], problems: list[str]
) -> Route:
    route = Route(
        name=_get_typed(document, "name", str),
        host=host,
        prefix=prefix,
        # Running at most once is allowed for every kind of route.
        idempotent=_IDEMPOTENT.get(_get_typed(document, "routeType", str), False),
        timeout=_decode_seconds(document["timeoutS"]),
        target_latency=_decode_seconds(document["targetLatencyS"]),
        priority=_get_typed(document, "priority", int),
        shares=_decode_shares(document),
        # Counts targets, not sends: each target may be tried only once.
        max_targets=_get_typed(document, "maxAttempts", int),
        public=document.get("public") is True,
    )
    if not isinstance(document.get("public", False), bool):
        problems.append(f"route {host}{prefix}: not public: public is no true or false")
    kind = document["routeType"]
    if kind not in _IDEMPOTENT:
        problems.append(
            f"route {host}{prefix}: unknown kind {kind!r} runs at most once"
        )
    return route


def _decode_shares(document: dict[str, Any]) -> tuple[RouteShare, ...]:
    # "service" holds a single service, "weightedServices" several with weights.
    if "service" in document:
        return (RouteShare(_get_typed(document, "service", str), 1.0),)
    shares = tuple(
        RouteShare(_get_typed(each, "service", str), _decode_weight(each["weight"]))
        for each in _get_typed(document, "weightedServices", list)
    )
    if not shares:
        raise ValueError("the route has no service")
    return shares


def _decode_weight(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"invalid weight: {value!r}")
    return float(value)


def _decode_services(
    documents: Any, problems: list[Problem]
) -> dict[str, ServicePolicy]:
    if not isinstance(documents, list):
        kind = type(documents).__name__
        text = f"services are ignored: not a list: {kind}"
        problems.append(Problem("services", text))
        return {}
    services = (
        _decode_at(f"services[{number}]", _decode_service_or_none, each, problems)
        for number, each in enumerate(documents)
    )
    return {service.name: service for service in services if service is not None}


def _decode_service_or_none(document: Any, problems: list[str]) -> ServicePolicy | None:
    return _decode_or_default(_decode_service, document, None, "a service", problems)


def _decode_service(document: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=_get_typed(document, "name", str),
        max_connections=_get_typed(document, "maxConnections", int),
        health_path=_get_typed(document, "healthPath", str),
    )


def _decode_limits(document: Any, problems: list[str]) -> CallerLimits:
    default = CallerLimits()
    if not isinstance(document, dict):
        problems.append("limits get their defaults: not an object")
        return default

    def decode(name: str, decode_value: Callable[[Any], _T], default: _T) -> _T:
        value = document.get(name)
        return _decode_or_default(decode_value, value, default, name, problems)

    return CallerLimits(
        header_bytes=decode("maxHeaderBytes", _decode_count, default.header_bytes),
        body_bytes=decode("maxBodyBytes", _decode_count, default.body_bytes),
        header_timeout=decode(
            "headerTimeoutS", _decode_seconds, default.header_timeout
        ),
        idle_timeout=decode("idleTimeoutS", _decode_seconds, default.idle_timeout),
    )


def _decode_or_default(
    decode: Callable[[Any], _T],
    value: Any,
    default: _T,
    name: str,
    problems: list[str],
) -> _T:
    try:
        return decode(value)
    except _DECODE_ERRORS as error:
        problems.append(f"{name} gets its default {default!r}: {error!r}")
        return default


def _get_typed(document: dict[str, Any], name: str, kind: type) -> Any:
    value = document[name]
    # bool is a subclass of int, but a JSON boolean is not a number.
    if not isinstance(value, kind) or isinstance(value, bool):
        raise TypeError(f"{name} has type {type(value).__name__}")
    return value


def _decode_version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"version {text!r} does not start with r")
    version = int(text[1:])
    if not 0 <= version <= _MAX_VERSION:
        raise ValueError(f"version {text!r} is out of range")
    return version


def _decode_count(value: Any, largest: int | None = None) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise ValueError(f"expected a positive whole number, got {value!r}")
    if largest is not None and value > largest:
        raise ValueError(f"expected at most {largest}, got {value}")
    return value


def _decode_start(document: dict[str, Any]) -> int:
    started_ms: int = _get_typed(document, "born", int)
    if not 0 <= started_ms <= MAX_TIME_MS:
        raise ValueError(f"born is out of range: {started_ms}")
    return started_ms


def _decode_seconds(value: Any) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number of seconds, got {value!r}")
    if value < 0:
        raise ValueError(f"expected no negative number of seconds, got {value!r}")
    return timedelta(seconds=min(value, _MAX_SECONDS))


def _decode_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"address {text!r} has no host")
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"address {text!r} has a port out of range")
    return host, number
