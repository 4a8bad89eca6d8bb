"""The pool of threads that a process's tasks run on.

One task serves each connection, each peer and each call under way. A task that
ends with an exception has broken an invariant: that is logged, and the process
is stopped by `on_broken`, since its state can no longer be trusted.
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
_BROKEN_INVARIANT_EXIT = 70


def stop_process() -> None:
    """End this process at once."""
    os._exit(_BROKEN_INVARIANT_EXIT)


class TaskPool(ThreadPoolExecutor):
    """A thread pool that does not swallow the exceptions of its tasks."""

    def __init__(
        self, threads: int, on_broken: Callable[[], None] = stop_process
    ) -> None:
        threading.stack_size(_STACK_BYTES)
        super().__init__(max_workers=threads, thread_name_prefix="task")
        self._on_broken = on_broken

    def submit(self, task: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future:
        """Run a task; an exception in it is a broken invariant."""
        try:
            future = super().submit(task, *args, **kwargs)
        except RuntimeError:
            # The pool was shut down: the process ends, and the task with it.
            return _cancelled()
        future.add_done_callback(self._check)
        return future

    def _check(self, future: Future) -> None:
        error = None if future.cancelled() else future.exception()
        if error is None or self._shutdown:
            return
        text = "".join(traceback.format_exception(error))
        eliot.log_message("node:broken_invariant", error=text)
        self._on_broken()


def _cancelled() -> Future:
    future: Future = Future()
    future.cancel()
    return future
