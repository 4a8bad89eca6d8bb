"""An in-memory platform that injects the faults of a real one."""

from __future__ import annotations

from expression import Error

from cyclamenvane.store import Failure, MemoryPlatform, PlatformError

DOWN = PlatformError(Failure.UNAVAILABLE, "down")
RESPONSE_LOST = PlatformError(Failure.UNKNOWN, "the response was lost")


class FaultyPlatform:
    """Wraps the table and objects of a platform; `next_fault` affects one write.

    The faults are "lost" (the write takes effect but its response is lost), "late"
    (it takes effect when `apply_late` is called) and "dropped" (it never takes
    effect). All three report that the response was lost. While `down` is set every
    operation fails.
    """

    def __init__(self, clock) -> None:
        self.wrapped = MemoryPlatform(clock)
        self.down = False
        self.next_fault = ""
        self.late_writes: list = []
        self.table = self
        self.objects = _Objects(self)

    def get(self, key):
        return Error(DOWN) if self.down else self.wrapped.table.get(key)

    def scan(self, prefix, limit):
        return Error(DOWN) if self.down else self.wrapped.table.scan(prefix, limit)

    def commit(self, writes):
        return self.write(lambda: self.wrapped.table.commit(writes))

    def write(self, apply):
        fault, self.next_fault = self.next_fault, ""
        if self.down:
            return Error(DOWN)
        if fault == "late":
            self.late_writes.append(apply)
        if fault == "lost":
            apply()
        return Error(RESPONSE_LOST) if fault else apply()

    def apply_late(self) -> None:
        writes, self.late_writes = self.late_writes, []
        for apply in writes:
            apply()


class _Objects:
    def __init__(self, platform: FaultyPlatform) -> None:
        self._platform = platform

    def get(self, name):
        down = self._platform.down
        return Error(DOWN) if down else self._platform.wrapped.objects.get(name)

    def names(self, prefix):
        down = self._platform.down
        return Error(DOWN) if down else self._platform.wrapped.objects.names(prefix)

    def put(self, name, data):
        objects = self._platform.wrapped.objects
        return self._platform.write(lambda: objects.put(name, data))
