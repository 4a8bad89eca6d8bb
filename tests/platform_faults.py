"""A table and an object store with the faults of a real platform."""

from __future__ import annotations

from expression import Error

from cyclamenvane.store import Failure, MemoryPlatform, PlatformError

DOWN = PlatformError(Failure.UNAVAILABLE, "down")
LOST = PlatformError(Failure.UNKNOWN, "the answer was lost")


class FaultyPlatform:
    """Wraps a platform; `next_fault` applies to the next write only.

    The faults are "lost" (it takes effect, the answer is lost), "late" (it takes
    effect when `apply_late` is called) and "dropped" (it never does).
    """

    def __init__(self, clock) -> None:
        self.inner = MemoryPlatform(clock)
        self.down = False
        self.next_fault = ""
        self.late: list = []
        self.table = self
        self.objects = _Objects(self)

    def get(self, key):
        return Error(DOWN) if self.down else self.inner.table.get(key)

    def scan(self, prefix, limit):
        return Error(DOWN) if self.down else self.inner.table.scan(prefix, limit)

    def commit(self, writes):
        return self.write(lambda: self.inner.table.commit(writes))

    def write(self, make):
        fault, self.next_fault = self.next_fault, ""
        if self.down:
            return Error(DOWN)
        if fault == "late":
            self.late.append(make)
        if fault == "lost":
            make()
        return Error(LOST) if fault else make()

    def apply_late(self) -> None:
        waiting, self.late = self.late, []
        for make in waiting:
            make()


class _Objects:
    def __init__(self, platform: FaultyPlatform) -> None:
        self._platform = platform

    def get(self, name):
        down = self._platform.down
        return Error(DOWN) if down else self._platform.inner.objects.get(name)

    def names(self, prefix):
        down = self._platform.down
        return Error(DOWN) if down else self._platform.inner.objects.names(prefix)

    def put(self, name, data):
        objects = self._platform.inner.objects
        return self._platform.write(lambda: objects.put(name, data))
