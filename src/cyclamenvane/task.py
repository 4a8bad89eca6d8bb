"""Thread pool that runs the tasks of a process.

Each connection, each peer and each call in progress has a task. An exception that
escapes a task means a broken invariant: it is logged, and `on_invariant_broken` stops
the process, because its state can no longer be trusted.
"""

from __future__ import annotations

import os
import threading
import traceback
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import eliot

__all__ = ["TaskPool", "stop_process"]

_STACK_BYTES = 256 * 1024
_EXIT_BROKEN_INVARIANT = 70


def stop_process() -> None:
    """Exit this process immediately, without cleanup."""
    os._exit(_EXIT_BROKEN_INVARIANT)


class TaskPool(ThreadPoolExecutor):
    """A thread pool that reports the exceptions of its tasks."""

    def __init__(
        self, threads: int, on_invariant_broken: Callable[[], None] = stop_process
    ) -> None:
        threading.stack_size(_STACK_BYTES)
        super().__init__(max_workers=threads, thread_name_prefix="task")
        self._on_invariant_broken = on_invariant_broken

    def submit(self, task: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future:
        """Run a task; an exception in it is reported as a broken invariant."""
        try:
            future = super().submit(task, *args, **kwargs)
        except RuntimeError:
            # The pool is shut down because the process exits, so the task is dropped.
            return _make_cancelled_future()
        future.add_done_callback(self._check_result)
        return future

    def _check_result(self, future: Future) -> None:
        error = None if future.cancelled() else future.exception()
        if error is None or self._shutdown:
            return
        text = "".join(traceback.format_exception(error))
        eliot.log_message("node:broken_invariant", error=text)
        self._on_invariant_broken()


def _make_cancelled_future() -> Future:
    future: Future = Future()
    future.cancel()
    return future
