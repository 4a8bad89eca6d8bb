"""Which callers lose access when a configuration replaces the one in force."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from .account_diff import format_keys
from .configuration import RouteTable, make_route_table
from .findings import Finding, FindingKind, Part, Place
from .model import Configuration, Route

__all__ = ["compare_access"]


def compare_access(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    """Yield the callers that lose access, and to what."""
    yield from _compare_keys(checked, in_force)
    if checked.accounts is not None and in_force.accounts is None:
        text = "callers without a key lose access to routes that are not public"
        yield _make_finding(Place(Part.ACCOUNTS), text)
    yield from _compare_routes(checked, in_force)


def _compare_keys(checked: Configuration, in_force: Configuration) -> Iterator[Finding]:
    if checked.accounts is None:
        return  # no request needs a key
    lost: dict[str, list[bytes]] = defaultdict(list)
    for key, account in in_force.keys.items():
        if key not in checked.keys:
            lost[account.name].append(key)
    kept = {
        account.name for key, account in in_force.keys.items() if key in checked.keys
    }
    renewed = {account.name for account in checked.keys.values()}
    known = {account.name for account in checked.accounts}
    for name, keys in lost.items():
        if name in kept:
            callers = f"callers with {format_keys(keys)}"
        elif name in renewed:
            callers = f"all present callers, with {format_keys(keys)}"
        else:
            callers = f"all callers, with {format_keys(keys)}"
        place = Place(Part.ACCOUNT, name=name, in_force=name not in known)
        text = f"account {name}: {callers}, lose access to routes that are not public"
        yield _make_finding(place, text)


def _compare_routes(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    """Compare what happens to requests below each prefix that either version has.

    A longer prefix has an entry of its own, so these are all the cases there are.
    """
    new, old = make_route_table(checked), make_route_table(in_force)
    seen: set[tuple[str, str]] = set()
    routes = [
        *((Place(Part.ROUTE, n), route) for n, route in enumerate(checked.routes)),
        *(
            (Place(Part.ROUTE, n, in_force=True), route)
            for n, route in enumerate(in_force.routes)
        ),
    ]
    for place, route in routes:
        key = route.host, route.prefix
        if key in seen:
            continue
        seen.add(key)
        text = _compare_requests(
            _find(new, route), _find(old, route), checked, in_force
        )
        if text:
            text = f"requests to {route.host}{route.prefix}: {text}"
            yield _make_finding(place, text)


def _find(table: RouteTable, route: Route) -> Route | None:
    return table.find_route(route.host.encode(), route.prefix.encode())


def _compare_requests(
    new: Route | None,
    old: Route | None,
    checked: Configuration,
    in_force: Configuration,
) -> str:
    """Return who loses access to one prefix, "" if nobody does."""
    if old is None or not old.shares:
        return ""  # nobody had access
    if new is None:
        return "all callers get 404, no route matches"
    if not new.shares:
        return "all callers get 503, the route cannot be decoded"
    if checked.accounts is None or in_force.accounts is None:
        return ""  # no key is needed, or that one now is has been said for all routes
    if old.public and not new.public:
        return "callers without a key lose access, the route is not public"
    return ""


def _make_finding(place: Place, text: str) -> Finding:
    return Finding(FindingKind.LOST_ACCESS, place, text)
