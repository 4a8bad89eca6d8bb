"""What differs between a configuration and the one in force."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import fields
from datetime import timedelta
from typing import Any, TypeAlias

from .access_diff import compare_access
from .account_diff import compare_accounts
from .findings import Finding, FindingKind, Part, Place, label_route
from .model import Configuration, Route

__all__ = ["compare_configurations"]

_Routes: TypeAlias = dict[tuple[str, str], tuple[int, Route]]

_ROUTE_LABELS = {
    "name": "name",
    "idempotent": "idempotent",
    "timeout": "timeout",
    "target_latency": "target latency",
    "priority": "priority",
    "max_targets": "max targets",
    "public": "public",
}


def compare_configurations(
    checked: Configuration, in_force: Configuration
) -> list[Finding]:
    """Return what would change if the checked configuration came into force."""
    return [
        *_compare_versions(checked, in_force),
        *compare_access(checked, in_force),
        *_compare_routes(checked, in_force),
        *_compare_services(checked, in_force),
        *_compare_limits(checked, in_force),
        *compare_accounts(checked, in_force),
    ]


def _compare_versions(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    if checked.version > in_force.version or checked.encoded == in_force.encoded:
        return
    text = (
        f"version {checked.version} is not above version {in_force.version} in force: "
        "nodes ignore it"
    )
    yield Finding(FindingKind.ERROR, Place(Part.VERSION), text)


def _compare_routes(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    new, old = _index_routes(checked), _index_routes(in_force)
    for key, (position, route) in new.items():
        place = Place(Part.ROUTE, position)
        if key not in old:
            yield _make_difference(place, f"{label_route(route)} is added")
        else:
            yield from _compare_route(route, old[key][1], position)
    for key, (position, route) in old.items():
        if key not in new:
            place = Place(Part.ROUTE, position, in_force=True)
            yield _make_difference(place, f"{label_route(route)} is removed")


def _index_routes(configuration: Configuration) -> _Routes:
    # The last one of the routes with one host and prefix is in force.
    return {
        (route.host, route.prefix): (position, route)
        for position, route in enumerate(configuration.routes)
    }


def _compare_route(new: Route, old: Route, position: int) -> Iterator[Finding]:
    if not new.shares or not old.shares:
        # The other fields of a route that could not be decoded mean nothing.
        return
    changes = [
        f"{label} {_format(getattr(old, name))} -> {_format(getattr(new, name))}"
        for name, label in _ROUTE_LABELS.items()
        if getattr(new, name) != getattr(old, name)
    ]
    new_parts, old_parts = _compute_parts(new), _compute_parts(old)
    for service in sorted(new_parts.keys() | old_parts.keys()):
        before, after = old_parts.get(service), new_parts.get(service)
        if before is None:
            changes.append(f"service {service} added with {after:.4g}% of the calls")
        elif after is None:
            changes.append(f"service {service} removed, had {before:.4g}% of the calls")
        elif before != after:
            changes.append(f"service {service} {before:.4g}% -> {after:.4g}%")
    if changes:
        text = f"{label_route(new)}: {', '.join(changes)}"
        yield _make_difference(Place(Part.ROUTE, position), text)


def _compute_parts(route: Route) -> dict[str, float]:
    """Return the percentage of the calls that each service gets."""
    total = sum(share.weight for share in route.shares)
    last = len(route.shares) - 1
    parts: dict[str, float] = {}
    for number, share in enumerate(route.shares):
        # If no service has a weight, the last one gets all calls.
        part = share.weight / total if total else float(number == last)
        parts[share.service] = parts.get(share.service, 0.0) + 100 * part
    return parts


def _compare_services(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    for name, policy in checked.services.items():
        old = in_force.services.get(name)
        if policy != old:
            change = "added" if old is None else "changed"
            text = f"the definition of service {name} is {change}"
            yield _make_difference(Place(Part.SERVICE, name=name), text)
    for name in in_force.services:
        if name not in checked.services:
            place = Place(Part.SERVICE, name=name, in_force=True)
            text = f"the definition of service {name} is removed"
            yield _make_difference(place, text)


def _compare_limits(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    changes = [
        f"{each.name.replace('_', ' ')} {_format(before)} -> {_format(after)}"
        for each in fields(checked.limits)
        if (before := getattr(in_force.limits, each.name))
        != (after := getattr(checked.limits, each.name))
    ]
    if changes:
        text = f"limits of callers: {', '.join(changes)}"
        yield _make_difference(Place(Part.LIMITS), text)


def _make_difference(place: Place, text: str) -> Finding:
    return Finding(FindingKind.DIFFERENCE, place, text)


def _format(value: Any) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds():g} s"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
