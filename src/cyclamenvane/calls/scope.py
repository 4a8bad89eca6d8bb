"""The calls made on behalf of one dispatch, and the allowance they share.

Nodes may make extra attempts for a root request, but only a fixed number over its
entire call tree. That number, the allowance, is sent with the call. A `CallScope`
holds the part that one dispatch received: each call made within it is granted a
share, an extra attempt uses one, and the unused part of a share is returned with
the response. Shares whose response is lost count as used, so the sum over the tree
never grows.

    granted = scope.grant()          # share of the allowance for a downstream call
    scope.return_unused(2, granted)  # unused part, from the report of the response
    scope.spend()                    # one extra attempt made by this scope
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from .context import CallContext
from .importance import RANKS

__all__ = ["CallScope"]


class CallScope:
    """The state of one active dispatch and of the calls made on its behalf.

    `level` is the lowest admission level reported from downstream, `retried`
    whether an extra attempt was made, `downstream_time` the total duration of the
    calls made within the scope.
    """

    def __init__(self, context: CallContext, deadline: timedelta) -> None:
        self.context = context
        self.deadline = deadline
        self.level = RANKS
        self.retried = False
        self.downstream_time = timedelta()
        self._unregister: Callable[[], None] = lambda: None
        self._remaining = context.allowance
        self._cancelled = False
        self._cancel_callbacks: dict[int, Callable[[], None]] = {}
        self._next_callback_id = 0
        self._lock = threading.Lock()

    @property
    def remaining(self) -> int:
        """The number of extra attempts that remain in this scope."""
        return self._remaining

    @property
    def cancelled(self) -> bool:
        """Whether the dispatch was cancelled, so that its result is not needed."""
        return self._cancelled

    def grant(self) -> int:
        """Deduct and return the share of the allowance for one downstream call."""
        with self._lock:
            share = (self._remaining + 1) // 2
            self._remaining -= share
            return share

    def return_unused(self, unused: int, granted: int) -> None:
        """Add the unused part of a grant back, limited to the amount granted."""
        with self._lock:
            self._remaining += max(0, min(unused, granted))

    def spend(self) -> bool:
        """Use one extra attempt; return False if none is left."""
        with self._lock:
            if self._remaining < 1:
                return False
            self._remaining -= 1
            self.retried = True
            return True

    def fork(self, deadline: timedelta) -> CallScope:
        """Return a child scope for one call, with a share of the allowance.

        `join` ends the child scope and returns its unused share.
        """
        context = replace(self.context, allowance=self.grant())
        child = CallScope(context, min(deadline, self.deadline))
        child._unregister = self.on_cancel(child.cancel)
        return child

    def join(self, child: CallScope, duration: timedelta) -> None:
        """End a scope created by `fork`, given the duration of its call."""
        child._unregister()
        self.return_unused(child.remaining, child.context.allowance)
        self.observe_level(child.level)
        with self._lock:
            self.downstream_time += duration
            self.retried = self.retried or child.retried

    def observe_level(self, level: int) -> None:
        """Record the admission level reported in a downstream response."""
        with self._lock:
            self.level = min(self.level, level)

    def on_cancel(self, cancel: Callable[[], None]) -> Callable[[], None]:
        """Register a cancel callback; return a function that unregisters it.

        If the scope is already cancelled, `cancel` is called immediately.
        """
        with self._lock:
            callback_id = self._next_callback_id
            self._next_callback_id += 1
            if not self._cancelled:
                self._cancel_callbacks[callback_id] = cancel
        if self._cancelled:
            cancel()
        return lambda: self._remove_callback(callback_id)

    def cancel(self) -> None:
        """Cancel the dispatch and call all registered callbacks."""
        with self._lock:
            self._cancelled = True
            callbacks = list(self._cancel_callbacks.values())
            self._cancel_callbacks.clear()
        for cancel in callbacks:
            cancel()

    def _remove_callback(self, callback_id: int) -> None:
        with self._lock:
            self._cancel_callbacks.pop(callback_id, None)
