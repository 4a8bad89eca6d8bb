"""Calls of the first daemon to a target."""

from __future__ import annotations

from datetime import timedelta

from cyclamenvane.calls import (
    CallContext,
    CallScope,
    Importance,
    Request,
    Response,
)
from cyclamenvane.clock import SystemClock
from cyclamenvane.node.connection import ConnectionPool, exchange

TIMEOUT = timedelta(seconds=5)


def call(address, method: str = "GET") -> Response:
    """Send one call to a target; return the response with its whole body."""
    clock = SystemClock()
    deadline = clock.monotonic() + TIMEOUT
    context = CallContext("root", "foreman", Importance.NORMAL, 0, 0)
    request = Request("stock", method, "/items/", (), b"", context, deadline)
    return exchange(
        ConnectionPool(address, clock),
        request,
        (),
        CallScope(context, deadline),
        TIMEOUT,
        lambda status: None,
        lambda: None,
    )
