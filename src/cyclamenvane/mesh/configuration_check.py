"""Checks of a decoded configuration: entries without effect, contradicting limits.

What a decoder lists as a problem is not repeated here. A route that could not be
decoded has no shares; nothing is concluded from it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from datetime import timedelta

from .configuration import RouteTable, make_route_table
from .findings import Finding, FindingKind, Part, Place, label_route
from .model import Configuration, Route

__all__ = ["check_configuration"]


def check_configuration(configuration: Configuration) -> list[Finding]:
    """Return entries that never match, and limits that contradict each other."""
    table = make_route_table(configuration)
    findings: list[Finding] = []
    for position, route in enumerate(configuration.routes):
        findings += _check_matching(table, position, route)
        findings += _check_shares(position, route)
        findings += _check_route_limits(position, route)
        findings += _check_defined(configuration, position, route)
    findings += _check_services(configuration)
    findings += _check_accounts(configuration)
    return findings


def _check_matching(
    table: RouteTable, position: int, route: Route
) -> Iterator[Finding]:
    reason = _find_mismatch(table, route)
    if reason:
        text = f"{label_route(route)} never matches: {reason}"
        yield Finding(FindingKind.UNREACHABLE, Place(Part.ROUTE, position), text)


def _find_mismatch(table: RouteTable, route: Route) -> str:
    """Return why no request is matched to a route, "" if one may be."""
    if not route.prefix.startswith("/"):
        return "its prefix does not begin with a slash"
    if not route.prefix.endswith("/"):
        return "its prefix does not end with a slash"
    if "?" in route.prefix:
        return "its prefix has a query, which is no part of the path"
    if ":" in route.host:
        return "its host has a port, which is removed before routes are looked up"
    found = table.find_route(route.host.encode(), route.prefix.encode())
    if found is not route:
        return "a later route has the same host and prefix"
    return ""


def _check_shares(position: int, route: Route) -> Iterator[Finding]:
    unweighted = [n for n, share in enumerate(route.shares) if not share.weight]
    if not unweighted:
        return
    label = label_route(route)
    last = len(route.shares) - 1
    for number in unweighted:
        place = Place(Part.SHARE, position, number)
        service = route.shares[number].service
        if len(unweighted) <= last:
            text = f"{label}: service {service} gets no calls: its weight is 0"
            yield Finding(FindingKind.UNREACHABLE, place, text)
        elif number == last:
            text = (
                f"{label}: service {service} gets all calls, although its weight is 0"
            )
            yield Finding(FindingKind.CONTRADICTION, place, text)
        else:
            text = f"{label}: service {service} gets no calls: all weights are 0"
            yield Finding(FindingKind.UNREACHABLE, place, text)


def _check_route_limits(position: int, route: Route) -> Iterator[Finding]:
    if not route.shares:
        return
    for text in _list_limit_conflicts(route):
        place = Place(Part.ROUTE, position)
        yield Finding(FindingKind.CONTRADICTION, place, f"{label_route(route)}: {text}")


def _list_limit_conflicts(route: Route) -> Iterator[str]:
    timeout = _format_seconds(route.timeout)
    latency = _format_seconds(route.target_latency)
    if not route.timeout:
        yield "its timeout is 0: each call ends before it is sent"
    elif route.timeout < route.target_latency:
        yield f"its timeout of {timeout} is below its target latency of {latency}"
    elif route.idempotent and route.max_targets > _count_fitting(route):
        # A route that is not idempotent is sent again only if a target rejects it,
        # which takes hardly any time.
        yield (
            f"{route.max_targets} attempts of {latency} each do not fit into its "
            f"timeout of {timeout}"
        )
    if route.max_targets < 1:
        yield f"it allows {route.max_targets} attempts, but each call gets one"


def _count_fitting(route: Route) -> float:
    if not route.target_latency:
        return math.inf
    return route.timeout / route.target_latency


def _check_defined(
    configuration: Configuration, position: int, route: Route
) -> Iterator[Finding]:
    if not configuration.services:
        return
    for number, share in enumerate(route.shares):
        if share.service not in configuration.services:
            text = f"{label_route(route)}: service {share.service} is not defined"
            place = Place(Part.SHARE, position, number)
            yield Finding(FindingKind.UNREACHABLE, place, text)


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    if not all(route.shares for route in configuration.routes):
        # A route that could not be decoded may lead to any service.
        return
    used = {share.service for route in configuration.routes for share in route.shares}
    for name in configuration.services:
        if name not in used:
            text = f"service {name} gets no calls: no route leads to it"
            place = Place(Part.SERVICE, name=name)
            yield Finding(FindingKind.UNREACHABLE, place, text)


def _check_accounts(configuration: Configuration) -> Iterator[Finding]:
    with_keys = {account.name for account in configuration.keys.values()}
    for account in configuration.accounts or ():
        place = Place(Part.ACCOUNT, name=account.name)
        label = f"account {account.name}"
        if account.rate and account.name not in with_keys:
            text = f"{label} has a rate of {account.rate:g}, but no usable key"
            yield Finding(FindingKind.CONTRADICTION, place, text)
        if account.burst and not account.rate:
            text = f"{label} has a burst of {account.burst:g}, but no rate"
            yield Finding(FindingKind.CONTRADICTION, place, text)


def _format_seconds(duration: timedelta) -> str:
    return f"{duration.total_seconds():g} s"
