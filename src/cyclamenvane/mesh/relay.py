"""Relaying of the store between the nodes of a zone.

A follower asks a watcher for the changes since the versions it has; the watcher
answers as soon as there are some, or after a wait. Each request names the versions,
so a follower can go on with another watcher, or with the store itself, at any time.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import eliot

from .connection import open_connection
from .errors import FrameError
from .forward import FrameKind
from .frames import FrameStream
from .replica import TableUpdate
from .rows import RowChange, StoredRow, StoreVersion
from .store_watch import WatchState
from .watch import WaitResult, Watch, watch_no_caller

if TYPE_CHECKING:
    from ..accounts.confirmation import Confirmation
    from ..clock import Clock
    from .model import Address, NodeRecord
    from .replica import StoreReplica
    from .stop_event import Sleep
    from .store_watch import StoreWatch
    from .watchers import WatcherSelection

__all__ = ["Follower", "Relay"]

_WAIT = timedelta(milliseconds=1200)  # a silent watcher is replaced after this
_ANSWER_MARGIN = timedelta(milliseconds=400)
_CONNECT_TIMEOUT = timedelta(milliseconds=300)
_MAX_WAIT = timedelta(seconds=5)  # that a follower may ask for
_ROLE_INTERVAL = timedelta(milliseconds=500)  # between checks of a watcher's own role
_RETRY_DELAY = timedelta(milliseconds=200)  # after a watcher could not help
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class _Answer:
    reaches_store: bool
    confirmation: object
    updates: tuple[TableUpdate, ...]


class Relay:
    """Answers the followers of this node, which makes it a watcher."""

    def __init__(
        self,
        replica: StoreReplica,
        store_watch: StoreWatch,
        selection: WatcherSelection,
        confirmation: Confirmation,
        clock: Clock,
    ) -> None:
        self._replica = replica
        self._store_watch = store_watch
        self._selection = selection
        self._confirmation = confirmation
        self._clock = clock
        self._closed = False

    def close(self) -> None:
        """Send the followers to other watchers."""
        self._closed = True
        self._replica.wake()

    def answer(self, frame: list[Any]) -> list[Any]:
        """Return the updates that a follower asked for; blocks until there are some.

        Raise FrameError if the frame is invalid. The second field of the answer is
        false if the store is lost. If settings are strict, it has the last confirmation
        of the configuration; nodes of an earlier release only check whether it is true.
        """
        asked_at = self._clock.monotonic()
        try:
            versions, wait = _unpack_request(frame)
        except (ValueError, TypeError, OverflowError) as error:
            raise FrameError(f"invalid follow frame: {error}") from error
        updates: list[TableUpdate] = []
        confirmation: list[float] = []
        if not self._closed:
            self._selection.record_request()
            self._store_watch.follow_all()
            updates = self._replica.wait_for_updates(versions, wait)
            if self._confirmation.is_strict():
                # Before the updates, which then have all that was confirmed.
                confirmation = self._confirmation.pack(asked_at)
                updates = self._replica.wait_for_updates(versions, timedelta())
        lost = self._closed or self._store_watch.state() is WatchState.LOST
        return [
            FrameKind.UPDATES,
            not lost and (confirmation or True),
            [_pack_update(each) for each in updates],
        ]


class Follower:
    """Keeps the replica current: follows a watcher, or makes this node one.

    The standby follows `standby_tables` itself besides, so that the zone gets their
    changes while its watcher has lost the store and has not noticed.
    """

    def __init__(
        self,
        local_node: str,
        replica: StoreReplica,
        store_watch: StoreWatch,
        selection: WatcherSelection,
        confirmation: Confirmation,
        standby_tables: Collection[str],
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        self._local_node = local_node
        self._replica = replica
        self._store_watch = store_watch
        self._selection = selection
        self._confirmation = confirmation
        self._standby_tables = standby_tables
        self._clock = clock
        self._sleep = sleep
        self._stream: FrameStream | None = None
        self._followed = ""

    def run(self) -> None:
        """Follow watchers until the node stops."""
        watch = watch_no_caller(self._clock)
        while not self._sleep.is_stopped():
            self._step(watch)
        self._close()

    def _step(self, watch: Watch) -> None:
        has_rows = None not in self._replica.versions().values()
        watcher = self._selection.select(has_rows)
        self._log_change(watcher.node if watcher else self._local_node)
        if watcher is None:
            self._close()
            self._watch_store()
            return
        self._follow_as_standby()
        asked_at = self._clock.monotonic()
        answer = self._ask(watcher, watch)
        if answer is None:
            self._close()
            self._selection.record_silence(watcher.node)
            self._sleep(_RETRY_DELAY * random.uniform(0.5, 1.5))
            return
        for update in answer.updates:
            self._replica.apply(update)
        if answer.reaches_store:
            self._confirmation.record_answer(answer.confirmation, asked_at)
            self._selection.record_answer(watcher.node)
        else:
            self._selection.record_store_lost(watcher.node)
            self._follow_as_standby()
            self._sleep(_RETRY_DELAY * random.uniform(0.5, 1.5))

    def _follow_as_standby(self) -> None:
        if self._store_watch.reaches(self._standby_tables):
            self._selection.record_store_reached()
        standby = self._selection.is_standby()
        self._store_watch.follow(self._standby_tables if standby else ())

    def _watch_store(self) -> None:
        self._store_watch.follow_all()
        # The first calls of a new watcher are made meanwhile.
        self._sleep(_ROLE_INTERVAL)
        state = self._store_watch.state()
        if state is WatchState.LOST:
            self._selection.record_store_lost(self._local_node)
            self._replica.wake()  # so that followers learn of it at once
        elif state is WatchState.CURRENT:
            self._selection.record_store_reached()

    def _log_change(self, followed: str) -> None:
        if followed != self._followed:
            self._close()
            self._followed = followed
            eliot.log_message(
                "store:follow", node=followed, watcher=followed == self._local_node
            )

    def _ask(self, watcher: NodeRecord, watch: Watch) -> _Answer | None:
        until = self._clock.monotonic() + _WAIT + _ANSWER_MARGIN
        try:
            if self._stream is None:
                self._stream = _open_stream(watcher.address)
            frame = _pack_request(self._replica.versions(), _WAIT)
            if not self._stream.send(frame, watch, until)[1]:
                return None
            wait_result, response = self._stream.receive(watch, until)
            if wait_result is not WaitResult.READY:
                return None
            return _unpack_answer(response)
        except (OSError, ValueError, TypeError, OverflowError) as error:
            eliot.log_message("store:relay_failed", node=watcher.node, error=str(error))
            return None

    def _close(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None


def _open_stream(address: Address) -> FrameStream:
    return FrameStream(open_connection(address, _CONNECT_TIMEOUT))


def _pack_request(
    versions: dict[str, StoreVersion | None], wait: timedelta
) -> list[Any]:
    return [FrameKind.FOLLOW, list(versions.items()), wait // _MILLISECOND]


def _unpack_request(
    frame: list[Any],
) -> tuple[dict[str, StoreVersion | None], timedelta]:
    _, versions, wait = frame
    unpacked = {
        table: None if version is None else _unpack_version(version)
        for table, version in versions
    }
    return unpacked, min(max(wait, 0) * _MILLISECOND, _MAX_WAIT)


def _unpack_version(fields: list[Any]) -> StoreVersion:
    epoch, number = fields
    if epoch < 0 or number < 0:
        raise ValueError("negative version")
    return StoreVersion(int(epoch), int(number))


def _pack_update(update: TableUpdate) -> list[Any]:
    changes = [
        [each.part, each.key, each.version, each.row.value if each.row else None]
        for each in update.changes
    ]
    return [update.table, update.complete, update.version, changes]


def _unpack_answer(frame: list[Any]) -> _Answer:
    kind, reaches_store, updates = frame
    if kind != FrameKind.UPDATES:
        raise ValueError(f"expected updates, got a frame of kind {kind!r}")
    return _Answer(
        bool(reaches_store),
        reaches_store,
        tuple(_unpack_update(each) for each in updates),
    )


def _unpack_update(fields: list[Any]) -> TableUpdate:
    table, complete, version, changes = fields
    return TableUpdate(
        table,
        complete,
        tuple(_unpack_change(*each) for each in changes),
        _unpack_version(version),
    )


def _unpack_change(
    part: str, key: str, version: list[Any], value: bytes | None
) -> RowChange:
    changed_at = _unpack_version(version)
    row = StoredRow(part, key, value, changed_at) if value is not None else None
    return RowChange(part, key, row, changed_at)
