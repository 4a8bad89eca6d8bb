"""The calls made on behalf of one dispatch, and the allowance they share.

The nodes may make extra attempts for a root request, but never more than a
fixed number over its whole call tree. That number, the allowance, is carried
with the call. A `CallScope` holds the part that one dispatch received: each
call made within it is granted a share, an extra attempt takes one away, and
what a call did not use comes back with its answer. What is lost on the way
counts as spent, so the sum over the tree never grows.

    scope.grant()        # part of the allowance for a call made downstream
    scope.take_back(2)   # unused part, out of the answer's report
    scope.spend()        # one extra attempt of this scope's own
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
    """The live state of one dispatch and of the calls made on its behalf.

    `level` is the lowest admission level seen below, `retried` whether an extra
    attempt was made, `waited` the time spent in calls made within the scope.
    """

    def __init__(self, context: CallContext, deadline: timedelta) -> None:
        self.context = context
        self.deadline = deadline
        self.level = RANKS
        self.retried = False
        self.waited = timedelta()
        self._leave: Callable[[], None] = lambda: None
        self._left = context.allowance
        self._cancelled = False
        self._cancels: dict[int, Callable[[], None]] = {}
        self._next_cancel = 0
        self._lock = threading.Lock()

    @property
    def left(self) -> int:
        """The extra attempts that remain in this scope."""
        return self._left

    @property
    def cancelled(self) -> bool:
        """Whether nobody waits for this dispatch any longer."""
        return self._cancelled

    def grant(self) -> int:
        """Take and return the share of the allowance for one call below."""
        with self._lock:
            share = (self._left + 1) // 2
            self._left -= share
            return share

    def take_back(self, unused: int, granted: int) -> None:
        """Return the unused part of a grant; more than was granted is ignored."""
        with self._lock:
            self._left += max(0, min(unused, granted))

    def spend(self) -> bool:
        """Take one extra attempt; return False when none is left."""
        with self._lock:
            if self._left < 1:
                return False
            self._left -= 1
            self.retried = True
            return True

    def fork(self, deadline: timedelta) -> CallScope:
        """Return a scope for one call within this one, with a share of its own.

        `join` ends it and brings back what it did not use.
        """
        context = replace(self.context, allowance=self.grant())
        child = CallScope(context, min(deadline, self.deadline))
        child._leave = self.on_cancel(child.cancel)
        return child

    def join(self, child: CallScope, took: timedelta) -> None:
        """End a scope that `fork` gave, after the time its call took."""
        child._leave()
        self.take_back(child.left, child.context.allowance)
        self.observe_level(child.level)
        with self._lock:
            self.waited += took
            self.retried = self.retried or child.retried

    def observe_level(self, level: int) -> None:
        """Note the admission level that an answer from below carried."""
        with self._lock:
            self.level = min(self.level, level)

    def on_cancel(self, cancel: Callable[[], None]) -> Callable[[], None]:
        """Register what cancelling must stop; return how to unregister it.

        When the scope is cancelled already, `cancel` is called at once.
        """
        with self._lock:
            number = self._next_cancel
            self._next_cancel += 1
            if not self._cancelled:
                self._cancels[number] = cancel
        if self._cancelled:
            cancel()
        return lambda: self._forget(number)

    def cancel(self) -> None:
        """Stop everything that is done for this dispatch."""
        with self._lock:
            self._cancelled = True
            cancels = list(self._cancels.values())
            self._cancels.clear()
        for cancel in cancels:
            cancel()

    def _forget(self, number: int) -> None:
        with self._lock:
            self._cancels.pop(number, None)
