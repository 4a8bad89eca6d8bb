"""The load that nodes report of their targets, with the results of forwarded calls."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..calls import RANKS

__all__ = ["NO_LOAD", "Load", "ServiceUsage"]

_NO_TIME = timedelta()


@dataclass(init=False)
class Load:
    """The load that a node reports of its local target with each forward result.

    `in_flight` is the number of calls at the target and in its queue, `limit` the
    maximum of concurrent calls at the target. `level` is the admission level there,
    or the lowest of the mean levels reported by the services that the call called, if
    that is lower. `version` is the version of the configuration in force on that node.
    `queue_wait` is the expected wait of a further call in the queue, `call_time` the
    mean time that the target itself takes for a call, without its nested calls; zero
    if not known.
    """

    in_flight: int
    limit: int
    level: int
    version: int
    leaving: bool
    queue_wait: timedelta
    call_time: timedelta

    def __init__(
        self,
        in_flight: int = 0,
        limit: int = 0,
        level: int = RANKS,
        version: int = 0,
        leaving: bool = False,
        queue_wait: timedelta = _NO_TIME,
        call_time: timedelta = _NO_TIME,
    ) -> None:
        self.in_flight = in_flight
        self.limit = limit
        self.level = level
        self.version = version
        self.leaving = leaving
        self.queue_wait = queue_wait
        self.call_time = call_time


NO_LOAD = Load()  # for a node that has not reported its load


@dataclass(frozen=True)
class ServiceUsage:
    """What one call and its nested calls asked of one service.

    `calls` is the number of calls, `rejections` how often one of them was sent to a
    target and certainly not run.
    """

    service: str
    calls: int
    rejections: int
