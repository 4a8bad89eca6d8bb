"""The share of the process's file descriptors that one kind of peer may use.

What is left by the shares stays for the other nodes, the target, the store, readiness
probes and metrics, whatever callers do.
"""

from __future__ import annotations

import threading

__all__ = ["DescriptorShare", "limit_tasks", "share_descriptors"]

_LISTENER_SHARE = 0.35
_MAX_TASKS = 512  # about 100 KB each
_MIN_TASKS = 128
_TASK_SHARE = 0.125  # a task opens up to two descriptors for its call


def limit_tasks(max_open_files: int) -> int:
    """Return how many tasks may run; further calls wait for a free one."""
    return min(_MAX_TASKS, max(_MIN_TASKS, int(max_open_files * _TASK_SHARE)))


class DescriptorShare:
    """A number of descriptors, which are taken and returned."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._taken = 0
        self._lock = threading.Lock()

    def taken(self) -> int:
        """Return how many descriptors are in use."""
        return self._taken

    def take(self, count: int) -> bool:
        """Take descriptors that are about to be opened; return False without them."""
        with self._lock:
            if self._taken + count > self._limit:
                return False
            self._taken += count
            return True

    def give_back(self, count: int) -> None:
        """Return descriptors that were closed."""
        with self._lock:
            self._taken -= count


def share_descriptors(max_open_files: int) -> DescriptorShare:
    """Return the share of the peers of one listener."""
    return DescriptorShare(int(max_open_files * _LISTENER_SHARE))
