"""A pool of streams to other nodes, opened on demand and closed when idle."""

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

_IDLE_TIMEOUT = timedelta(seconds=60)
_RECONNECT_DELAY = timedelta(milliseconds=200)


class _Connection:
    __slots__ = ("client", "failed_at", "lock", "used_at")

    def __init__(self) -> None:
        self.client: StreamClient | None = None
        self.failed_at: timedelta | None = None
        self.used_at = timedelta()
        self.lock = threading.Lock()


class PeerPool:
    """Holds one stream per node."""

    def __init__(
        self, role: str, name: str, key: bytes, clock: Clock, executor: Executor
    ) -> None:
        self._role = role
        self._name = name
        self._key = key
        self._clock = clock
        self._executor = executor
        self._connections: dict[tuple[str, int], _Connection] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return sum(
            connection.client is not None
            for connection in list(self._connections.values())
        )

    @property
    def dropped(self) -> int:
        """The number of responses without a pending call, over all open streams."""
        clients = (connection.client for connection in list(self._connections.values()))
        return sum(client.dropped for client in clients if client is not None)

    def reach(self, member: Member) -> StreamClient | None:
        """Return an open stream to a member, or None if it cannot be reached."""
        return self.connect((member.host, member.stream_port))

    def connect(self, address: tuple[str, int]) -> StreamClient | None:
        """Return an open stream to an address, or None if it cannot be opened."""
        connection = self._get_or_create_connection(address)
        connection.used_at = self._clock.monotonic()
        client = connection.client
        if client is not None and not client.closed:
            return client
        with connection.lock:
            return self._open(connection, address)

    def check_streams(self) -> None:
        """Check that the streams are alive, and close idle ones."""
        now = self._clock.monotonic()
        for address, connection in list(self._connections.items()):
            client = connection.client
            if client is None:
                continue
            if (
                client.closed
                or now - connection.used_at > _IDLE_TIMEOUT
                and not client.busy
            ):
                client.close()
                self._connections.pop(address, None)
            else:
                client.check_alive()

    def close(self) -> None:
        """Close all streams."""
        for connection in list(self._connections.values()):
            if connection.client is not None:
                connection.client.close()

    def _get_or_create_connection(self, address: tuple[str, int]) -> _Connection:
        with self._lock:
            return self._connections.setdefault(address, _Connection())

    def _open(
        self, connection: _Connection, address: tuple[str, int]
    ) -> StreamClient | None:
        if connection.client is not None and not connection.client.closed:
            return connection.client
        now = self._clock.monotonic()
        if (
            connection.failed_at is not None
            and now - connection.failed_at < _RECONNECT_DELAY
        ):
            return None
        opened = open_stream(
            address, self._role, self._name, self._key, self._clock, self._executor
        )
        if opened.is_error():
            connection.failed_at = self._clock.monotonic()
            return None
        connection.client = opened.ok
        connection.failed_at = None
        return connection.client
