"""The program that the platform runs on each VM, a mesh node.

Run it with `python -m cyclamenvane.platform.daemon`.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path
from types import FrameType
from typing import NoReturn

import eliot

from ..clock import SystemClock
from ..mesh import MeshNode
from ..mesh.log import LogWriter
from .adapter import make_adapter
from .settings import SETTINGS_VARIABLE, read_mesh_settings

__all__ = ["main"]

_EXIT_SETTINGS = 78  # EX_CONFIG of sysexits.h
# The interpreter's own value; a shorter one wakes more tasks for nothing.
_SWITCH_S = 0.005
_COLLECT_AFTER = 10_000  # objects; calls leave few cycles behind
_LOOK_S = 1.0  # how late a change of the settings file is noticed
_FLUSH = timedelta(milliseconds=200)  # a reader that has stalled is left alone


def main() -> None:
    """Run a node until SIGTERM, then end the process."""
    log = LogWriter(sys.stdout.buffer)
    writers = ThreadPoolExecutor(1, thread_name_prefix="log")
    log.start(writers)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    found = read_mesh_settings(Path(path))
    if found.is_error():
        for problem in found.error:
            eliot.log_message("settings:invalid", problem=problem)
        _exit(log, _EXIT_SETTINGS)
    ended = threading.Event()

    def end(number: int, frame: FrameType | None) -> None:
        ended.set()

    signal.signal(signal.SIGTERM, end)
    hung_up = threading.Event()
    signal.signal(signal.SIGHUP, lambda number, frame: hung_up.set())
    sys.setswitchinterval(_SWITCH_S)
    node = MeshNode(found.ok, make_adapter(), SystemClock())
    node.start()
    # What was made at the start lives as long as the process.
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER)
    eliot.log_message("node:start", node=found.ok.node, service=found.ok.service)
    stamp = _read_stamp(path)
    while not ended.wait(_LOOK_S):
        changed = _read_stamp(path)
        # The file may also change without a signal.
        if hung_up.is_set() or changed != stamp:
            hung_up.clear()
            stamp = changed
            _reload(node, Path(path))
    clean = node.stop()
    eliot.log_message("node:stop", clean=clean)
    _exit(log, 0)


def _reload(node: MeshNode, path: Path) -> None:
    found = read_mesh_settings(path)
    if found.is_ok():
        node.reload(found.ok)
        return
    for problem in found.error:
        eliot.log_message("settings:invalid", problem=problem, kept=True)


def _read_stamp(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        # It is being replaced; the next look finds it.
        return 0, 0
    return status.st_mtime_ns, status.st_size


def _exit(log: LogWriter, status: int) -> NoReturn:
    log.flush(_FLUSH)
    # Tasks that wait for the next request or answer would hold the process.
    os._exit(status)


if __name__ == "__main__":
    main()
