"""Log lines that never block, and a bound on those about calls.

`start_log` sends eliot's messages to a bounded queue that one task writes out.
`CallLog` decides which calls get a line: failures first, plain successes by a
hash of the call's id, so that all nodes keep the same ones.
"""

from __future__ import annotations

import queue
import threading
from concurrent.futures import Executor
from datetime import timedelta
from typing import IO, TYPE_CHECKING, Any

import eliot
import orjson
import xxhash

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ["CallLog", "LogWriter"]

_QUEUED_LINES = 2_000  # about 1 MB of messages
_SUCCESS_SHARE = 64  # one of so many plain successes is logged
_SUCCESSES_PER_S = 5.0
_FAILURES_PER_S = 30.0
_BURST = 3  # seconds of lines that may come at once


class LogWriter:
    """Writes eliot's messages as JSON lines, and counts those it had to drop."""

    def __init__(self, stream: IO[bytes]) -> None:
        self._stream = stream
        self._lines: queue.Queue[dict[str, Any]] = queue.Queue(_QUEUED_LINES)
        self._dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message; never blocks."""
        try:
            self._lines.put_nowait(message)
        except queue.Full:
            self._dropped += 1

    def start(self, executor: Executor) -> None:
        """Write in a task of its own, and become eliot's destination."""
        eliot.add_destinations(self)
        executor.submit(self._run)

    def flush(self, timeout: timedelta) -> None:
        """Wait until what is queued has been written, but not for long."""
        written = threading.Event()
        self({"written": written})
        written.wait(timeout.total_seconds())

    def _run(self) -> None:
        while True:
            message = self._lines.get()
            written = message.get("written")
            if written is not None:
                written.set()
                continue
            self._write(message)
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                self._write({"message_type": "log:dropped", "lines": dropped})

    def _write(self, message: dict[str, Any]) -> None:
        # Messages stand alone, so eliot's tree of tasks says nothing here.
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        try:
            self._stream.write(orjson.dumps(message, default=str) + b"\n")
            self._stream.flush()
        except OSError:
            # Nobody reads the log any more; there is nowhere left to say so.
            self._dropped += 1


class CallLog:
    """Lines about calls, bounded by a rate for failures and one for successes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failures = _Allowance(_FAILURES_PER_S, clock)
        self._successes = _Allowance(_SUCCESSES_PER_S, clock)

    def wants(self, attempt: bytes | None, failed: bool) -> bool:
        """Return whether a call gets a line."""
        if failed:
            return self._failures.take()
        if xxhash.xxh32_intdigest(attempt or b"") % _SUCCESS_SHARE:
            return False
        return self._successes.take()

    def write(self, kind: str, attempt: bytes | None, **fields: Any) -> None:
        """Write a line that `wants` has allowed."""
        text = (attempt or b"").decode("latin-1")
        eliot.log_message(kind, id=text, **fields)


class _Allowance:
    """A token bucket of lines."""

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate * _BURST
        self._at = clock.monotonic()

    def take(self) -> bool:
        now = self._clock.monotonic()
        grown = (now - self._at).total_seconds() * self._rate
        self._tokens = min(self._rate * _BURST, self._tokens + grown)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
