"""The path in a document of a place in the configuration decoded from it."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any, TypeAlias

from ..mesh.findings import Part, Place
from .problems import Problem

__all__ = ["PlaceRenderer", "make_place_renderer"]

PlaceRenderer: TypeAlias = Callable[[Place], str]


def make_place_renderer(
    document: dict[str, Any], problems: Collection[Problem]
) -> PlaceRenderer:
    """Return a function that returns the path of a place in a document.

    `problems` are those of decoding the document: an entry that could not be decoded
    may have the name of another one.
    """
    failed = {problem.place for problem in problems}
    accounts = _index(document, "tenants", failed)
    services = _index(document, "services", failed)

    def render(place: Place) -> str:
        match place.part:
            case Part.VERSION:
                return "version"
            case Part.LIMITS:
                return "limits"
            case Part.ACCOUNTS:
                return "tenants"
            case Part.ROUTE:
                return f"routes[{place.position}]"
            case Part.SHARE:
                route = document["routes"][place.position]
                single = "service" in route
                field = "service" if single else f"weightedServices[{place.share}]"
                return f"routes[{place.position}].{field}"
            case Part.SERVICE:
                # Of services with one name, the last one is decoded.
                return services[place.name][-1]
            case Part.ACCOUNT:
                # Of accounts with one name, the first one is decoded.
                return accounts[place.name][0]

    return render


def _index(
    document: dict[str, Any], field: str, failed: Collection[str]
) -> dict[str, list[str]]:
    """Return the paths of the decoded entries of a list by their names."""
    paths: dict[str, list[str]] = {}
    entries = document.get(field)
    for number, entry in enumerate(entries if isinstance(entries, list) else ()):
        path = f"{field}[{number}]"
        if isinstance(entry, dict) and path not in failed:
            paths.setdefault(entry["name"], []).append(path)
    return paths
