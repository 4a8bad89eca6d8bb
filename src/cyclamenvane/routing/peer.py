"""Open streams to other nodes, opened when first needed and closed when idle."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import TYPE_CHECKING

from ..wire import StreamClient, open_stream

if TYPE_CHECKING:
    from concurrent.futures import Executor

    from ..clock import Clock
    from ..membership import Member

__all__ = ["PeerPool"]

_IDLE = timedelta(seconds=60)
_REST_AFTER_FAILURE = timedelta(milliseconds=200)


class _Slot:
    __slots__ = ("client", "failed_at", "lock", "used_at")

    def __init__(self) -> None:
        self.client: StreamClient | None = None
        self.failed_at: timedelta | None = None
        self.used_at = timedelta()
        self.lock = threading.Lock()


class PeerPool:
    """One stream to each node in use."""

    def __init__(
        self, role: str, name: str, key: bytes, clock: Clock, executor: Executor
    ) -> None:
        self._role = role
        self._name = name
        self._key = key
        self._clock = clock
        self._executor = executor
        self._slots: dict[tuple[str, int], _Slot] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return sum(slot.client is not None for slot in list(self._slots.values()))

    @property
    def dropped(self) -> int:
        """Answers that nobody waited for, over the streams now open."""
        clients = (slot.client for slot in list(self._slots.values()))
        return sum(client.dropped for client in clients if client is not None)

    def reach(self, member: Member) -> StreamClient | None:
        """Return an open stream to a member, or None when it cannot be reached."""
        return self.connect((member.host, member.stream_port))

    def connect(self, address: tuple[str, int]) -> StreamClient | None:
        """Return an open stream to an address, or None."""
        slot = self._find_slot(address)
        slot.used_at = self._clock.monotonic()
        client = slot.client
        if client is not None and not client.closed:
            return client
        with slot.lock:
            return self._open(slot, address)

    def beat(self) -> None:
        """Look for signs of life, and close what has been idle for long."""
        now = self._clock.monotonic()
        for address, slot in list(self._slots.items()):
            client = slot.client
            if client is None:
                continue
            if client.closed or now - slot.used_at > _IDLE and not client.busy:
                client.close()
                self._slots.pop(address, None)
            else:
                client.beat()

    def close(self) -> None:
        """Close every stream."""
        for slot in list(self._slots.values()):
            if slot.client is not None:
                slot.client.close()

    def _find_slot(self, address: tuple[str, int]) -> _Slot:
        with self._lock:
            return self._slots.setdefault(address, _Slot())

    def _open(self, slot: _Slot, address: tuple[str, int]) -> StreamClient | None:
        if slot.client is not None and not slot.client.closed:
            return slot.client
        now = self._clock.monotonic()
        if slot.failed_at is not None and now - slot.failed_at < _REST_AFTER_FAILURE:
            return None
        opened = open_stream(
            address, self._role, self._name, self._key, self._clock, self._executor
        )
        if opened.is_error():
            slot.failed_at = self._clock.monotonic()
            return None
        slot.client = opened.ok
        slot.failed_at = None
        return slot.client
