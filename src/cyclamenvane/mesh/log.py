"""Non-blocking log output, and a rate limit on lines about calls.

`LogWriter` puts eliot's messages into a bounded queue that one task writes out.
`CallLog` decides which calls are logged: failures up to a higher rate, and successes
sampled by a hash of the attempt ID, so that all nodes log the same calls.
"""

from __future__ import annotations

import json
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

_MAX_QUEUED_LINES = 2_000  # about 1 MB of messages
_SUCCESS_SAMPLE_INTERVAL = 64  # one in this many successes is logged
_SUCCESSES_PER_S = 5.0
_FAILURES_PER_S = 30.0
# Requests without a known key; one caller may send many, for as long as it likes.
_UNIDENTIFIED_PER_S = 5.0
# Refusals of requests that are not whole, and evictions; a crowd causes many.
_EVICTIONS_PER_S = 5.0
_MAX_ID_CHARACTERS = 256  # callers choose their IDs
_BURST_S = 3  # the bucket holds this many seconds of lines


class LogWriter:
    """Writes eliot's messages as JSON lines, and counts dropped ones."""

    def __init__(self, stream: IO[bytes]) -> None:
        self._stream = stream
        self._lines: queue.Queue[dict[str, Any]] = queue.Queue(_MAX_QUEUED_LINES)
        self._dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message without blocking; drop it when the queue is full."""
        try:
            self._lines.put_nowait(message)
        except queue.Full:
            self._dropped += 1

    def start(self, executor: Executor) -> None:
        """Register as a destination of eliot, and start the writing task."""
        eliot.add_destinations(self)
        executor.submit(self._run)

    def flush(self, timeout: timedelta) -> None:
        """Wait until the queued messages are written, at most for the timeout."""
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
        # No message belongs to an eliot action, so the task fields are of no use.
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        try:
            line = orjson.dumps(message, default=str)
        except orjson.JSONEncodeError:
            # Such as an integer of more than 64 bits.
            line = json.dumps(message, default=str).encode()
        try:
            self._stream.write(line + b"\n")
            self._stream.flush()
        except OSError:
            # The log stream cannot be written, so the error cannot be logged either.
            self._dropped += 1


class CallLog:
    """Logs calls, with separate rate limits for failures and successes.

    Requests without a known key have a rate limit of their own, so that they do not
    crowd out the failures of others.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failure_bucket = _TokenBucket(_FAILURES_PER_S, clock)
        self._success_bucket = _TokenBucket(_SUCCESSES_PER_S, clock)
        self._unidentified_bucket = _TokenBucket(_UNIDENTIFIED_PER_S, clock)
        self._eviction_bucket = _TokenBucket(_EVICTIONS_PER_S, clock)

    def should_log(self, attempt: bytes | None, failed: bool) -> bool:
        """Return whether to log a call; if so, its line counts for the rate limit."""
        if failed:
            return self._failure_bucket.try_take()
        if xxhash.xxh32_intdigest(attempt or b"") % _SUCCESS_SAMPLE_INTERVAL:
            return False
        return self._success_bucket.try_take()

    def should_log_unidentified(self) -> bool:
        """Return whether to log a request without a known key."""
        return self._unidentified_bucket.try_take()

    def should_log_eviction(self) -> bool:
        """Return whether to log what was refused unread or evicted."""
        return self._eviction_bucket.try_take()

    def write(self, message_type: str, attempt: bytes | None, **fields: Any) -> None:
        """Write the line of a call that `should_log` has allowed."""
        text = (attempt or b"")[:_MAX_ID_CHARACTERS].decode("latin-1")
        eliot.log_message(message_type, id=text, **fields)


class _TokenBucket:
    """A token bucket for log lines; `rate` is in lines per second."""

    def __init__(self, rate: float, clock: Clock) -> None:
        self._rate = rate
        self._clock = clock
        self._tokens = rate * _BURST_S
        self._updated_at = clock.monotonic()

    def try_take(self) -> bool:
        now = self._clock.monotonic()
        refill = (now - self._updated_at).total_seconds() * self._rate
        self._tokens = min(self._rate * _BURST_S, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
