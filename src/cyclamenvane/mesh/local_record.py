"""The record that a node publishes of itself and its local target."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from .model import MeshSettings, NodeRecord

if TYPE_CHECKING:
    from ..clock import Clock
    from .registration import TargetState

__all__ = ["LocalRecord"]


class LocalRecord:
    """Makes the record; `get_state` returns the state of the local target."""

    def __init__(
        self,
        get_settings: Callable[[], MeshSettings],
        get_state: Callable[[], TargetState | None],
        clock: Clock,
    ) -> None:
        self._get_settings = get_settings
        self._get_state = get_state
        self._session = int(clock.now().timestamp() * 1000)
        settings = get_settings()
        self._cached = settings, None, self._make(settings, None)

    def __call__(self) -> NodeRecord:
        """Return the record that the node publishes."""
        settings, state = self._get_settings(), self._get_state()
        # Read for each call, so the record is rebuilt only after a change.
        cached_settings, cached_state, record = self._cached
        if cached_settings is not settings or cached_state is not state:
            record = self._make(settings, state)
            self._cached = settings, state, record
        return record

    def _make(self, settings: MeshSettings, state: TargetState | None) -> NodeRecord:
        return NodeRecord(
            settings.node,
            self._session,
            settings.zone,
            settings.peer_listener,
            settings.service,
            state.heartbeat.slots if state else 0,
            state is None or not state.serving,
            state.heartbeat.incarnation if state else None,
        )
