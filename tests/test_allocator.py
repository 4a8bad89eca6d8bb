"""Memory that is freed returns to the system."""

from __future__ import annotations

import subprocess
import sys

_SCRIPT = """
import os
import threading
from cyclamenvane.allocator import limit_arenas

limit_arenas()

def read_resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

def hold():
    blocks = [bytearray(150_000) for _ in range(20)]
    ready.wait()
    del blocks

before = read_resident()
ready = threading.Barrier(33)
threads = [threading.Thread(target=hold) for _ in range(32)]
for each in threads:
    each.start()
ready.wait()
for each in threads:
    each.join()
print(read_resident() - before)
"""


def test_blocks_of_many_threads_return_to_the_system():
    """Guards against a process that stays as large as its largest burst."""
    result = subprocess.run(
        [sys.executable, "-c", _SCRIPT], capture_output=True, text=True, check=True
    )
    assert int(result.stdout) < 10_000_000, "of 96 MB"
