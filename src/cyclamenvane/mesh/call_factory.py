"""Makes calls of callers' requests, or refuses those that no target may get."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING

from ..accounts.identity import IdentityFailure, make_identifier
from ..calls import ONLY_TIER
from .call import Call, CallResult
from .forward import Reason
from .heads import HeaderNames, find_header, find_remaining_time, render_request_head
from .rank import make_ranker

if TYPE_CHECKING:
    from ..accounts import Account
    from ..accounts.identity import Identity
    from ..calls import Tier
    from .adapter import MeshAdapter
    from .configuration import CurrentConfiguration, RouteTable
    from .message import Request
    from .model import Route
    from .rank import ActiveCall, ActiveCalls, Rank

__all__ = ["CallFactory", "make_call_factory"]

_NO_CONFIGURATION_RETRY = timedelta(seconds=1)
_UNCONFIRMED_RETRY = timedelta(seconds=1)


class CallFactory:
    """Makes the calls of requests, by the configuration that is in force."""

    def __init__(
        self,
        configuration: CurrentConfiguration,
        header_names: HeaderNames,
        get_service: Callable[[], str],
        rank_call: Callable[
            [bytes | None, Route, Tier, bool], tuple[Rank, ActiveCall | None]
        ],
        identify: Callable[[RouteTable, Route, bytes | None], Identity],
    ) -> None:
        self._configuration = configuration
        self._header_names = header_names
        self._get_service = get_service
        self._rank_call = rank_call
        self._identify = identify

    def make_call(self, request: Request, arrived: timedelta) -> Call | CallResult:
        """Return the call of a request, or the result that refuses it."""
        current = self._configuration.current()
        if current is None:
            return CallResult(
                HTTPStatus.SERVICE_UNAVAILABLE,
                retry_after=_NO_CONFIGURATION_RETRY,
                detail="no configuration received yet",
            )
        host = find_header(request.headers, b"host") or b""
        route = current.find_route(host, request.path)
        if route is None:
            return CallResult(HTTPStatus.NOT_FOUND, detail="no route matches")
        names = self._header_names
        account: Account | None = None
        account_name: bytes | None = None
        tier = ONLY_TIER
        if current.tiers is not None:
            credentials = find_header(request.headers, names.credentials)
            identity = self._identify(current, route, credentials)
            if identity.failure is not None:
                return _refuse_unidentified(identity.failure)
            account = identity.account
            account_name = account.name.encode() if account is not None else b""
            tier = current.tiers.find(account)
        attempt = find_header(request.headers, names.attempt)
        rank, parent = self._rank_call(attempt, route, tier, account is not None)
        return Call(
            attempt,
            route,
            render_request_head(
                request, names, self._get_service().encode(), account_name
            ),
            request.body,
            rank,
            parent,
            arrived,
            arrived + min(route.timeout, self._parse_remaining(request, route)),
            account,
            tier.count,
        )

    def _parse_remaining(self, request: Request, route: Route) -> timedelta:
        names = self._header_names
        remaining = find_remaining_time(request.headers, names.remaining_ms)
        return route.timeout if remaining is None else remaining


def make_call_factory(
    configuration: CurrentConfiguration,
    adapter: MeshAdapter,
    get_service: Callable[[], str],
    active_calls: ActiveCalls,
    is_confirmed: Callable[[], bool],
) -> CallFactory:
    """Return the factory of a node; `is_confirmed` is that of `make_identifier`."""
    return CallFactory(
        configuration,
        adapter.header_names,
        get_service,
        make_ranker(adapter.parse_ancestor_ids, active_calls),
        make_identifier(adapter.parse_key, is_confirmed),
    )


def _refuse_unidentified(failure: IdentityFailure) -> CallResult:
    if failure is IdentityFailure.UNCONFIRMED:
        return CallResult(
            HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after=_UNCONFIRMED_RETRY,
            reason=Reason.UNCONFIRMED,
            detail=failure.value,
        )
    return CallResult(
        HTTPStatus.UNAUTHORIZED, reason=Reason.UNIDENTIFIED, detail=failure.value
    )
