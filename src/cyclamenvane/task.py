"""Thread pool that runs the tasks of a process.

Each connection, each peer and each call in progress has a task. An exception that
escapes a task means a broken invariant: it is logged, and `on_invariant_broken` stops
the process, because its state can no longer be trusted.
"""

from __future__ import annotations

import os
import threading
import traceback
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from datetime import timedelta
from typing import Any

import eliot

__all__ = ["TaskPool", "stop_process"]

_STACK_BYTES = 256 * 1024
_EXIT_BROKEN_INVARIANT = 70
# Bursts of load follow each other within seconds, and starting a thread takes some
# 100 us. Without an end, a process keeps the threads of its largest burst.
_MAX_IDLE = timedelta(seconds=2)


def stop_process() -> None:
    """Exit this process immediately, without cleanup."""
    os._exit(_EXIT_BROKEN_INVARIANT)


class _Task:
    """A function to run, and the future of its result."""

    __slots__ = ("function", "args", "kwargs", "future")

    def __init__(self, function: Callable[..., Any], args: Any, kwargs: Any) -> None:
        self.function, self.args, self.kwargs = function, args, kwargs
        self.future: Future = Future()

    def run(self) -> BaseException | None:
        """Run the function; return the exception that escaped it."""
        if not self.future.set_running_or_notify_cancel():
            return None
        try:
            result = self.function(*self.args, **self.kwargs)
        except BaseException as error:
            self.future.set_exception(error)
            return error
        self.future.set_result(result)
        return None


class _IdleThread:
    """A thread that waits for its next task; without one, it ends."""

    __slots__ = ("task", "_assigned")

    def __init__(self) -> None:
        self.task: _Task | None = None
        self._assigned = threading.Lock()
        self._assigned.acquire()

    def assign(self, task: _Task | None) -> None:
        self.task = task
        self._assigned.release()

    def wait(self, timeout_s: float = -1) -> bool:
        return self._assigned.acquire(timeout=timeout_s)


class TaskPool(Executor):
    """A thread pool that reports the exceptions of its tasks.

    The thread that has become idle last gets the next task: its memory is most likely
    in a cache, and the threads that are not needed end.
    """

    def __init__(
        self,
        threads: int,
        on_invariant_broken: Callable[[], None] = stop_process,
        max_idle: timedelta = _MAX_IDLE,
    ) -> None:
        threading.stack_size(_STACK_BYTES)
        self._max_threads = threads
        self._on_invariant_broken = on_invariant_broken
        self._max_idle_s = max_idle.total_seconds()
        self._lock = threading.Lock()
        self._threads: set[threading.Thread] = set()
        self._idle: list[_IdleThread] = []
        self._waiting: deque[_Task] = deque()
        self._shutdown = False

    def submit(
        self, function: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> Future:
        """Run a task; an exception in it is reported as a broken invariant."""
        task = _Task(function, args, kwargs)
        thread = idle = None
        with self._lock:
            if self._shutdown:
                # The process exits, so the task is dropped.
                task.future.cancel()
            elif self._idle:
                idle = self._idle.pop()
            elif len(self._threads) < self._max_threads:
                thread = threading.Thread(target=self._run, args=(task,), name="task")
                self._threads.add(thread)
            else:
                self._waiting.append(task)
        if idle is not None:
            idle.assign(task)
        elif thread is not None:
            self._start(thread, task)
        return task.future

    def count(self) -> int:
        """Return the number of threads."""
        return len(self._threads)

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Accept no more tasks; those that run go on."""
        with self._lock:
            self._shutdown = True
            idle, self._idle = self._idle, []
            dropped = list(self._waiting) if cancel_futures else []
            threads = list(self._threads)
            if cancel_futures:
                self._waiting.clear()
        for task in dropped:
            task.future.cancel()
        for each in idle:
            each.assign(None)
        if wait:
            for thread in threads:
                thread.join()

    def _start(self, thread: threading.Thread, task: _Task) -> None:
        try:
            thread.start()
        except RuntimeError:
            # The system allows no more threads: another one takes the task.
            with self._lock:
                self._threads.discard(thread)
                self._waiting.append(task)

    def _run(self, first: _Task) -> None:
        task: _Task | None = first
        while task is not None:
            error = task.run()
            if error is not None and not self._shutdown:
                self._report(error)
            task = error = None  # or the thread would keep the objects while it is idle
            task = self._next_task()

    def _next_task(self) -> _Task | None:
        """Wait for a task; return None if the thread is to end."""
        with self._lock:
            if self._waiting:
                return self._waiting.popleft()
            if self._shutdown:
                self._threads.discard(threading.current_thread())
                return None
            idle = _IdleThread()
            self._idle.append(idle)
        if not idle.wait(self._max_idle_s):
            with self._lock:
                if idle in self._idle:
                    self._idle.remove(idle)
                    self._threads.discard(threading.current_thread())
                    return None
            idle.wait()  # a task is being assigned
        if idle.task is None:
            with self._lock:
                self._threads.discard(threading.current_thread())
        return idle.task

    def _report(self, error: BaseException) -> None:
        text = "".join(traceback.format_exception(error))
        eliot.log_message("node:broken_invariant", error=text)
        self._on_invariant_broken()
