"""The mesh node program that the platform runs on each VM.

Run it with `python -m cyclamenvane.platform.daemon`.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from pathlib import Path
from typing import NoReturn

import eliot

from ..allocator import limit_arenas
from ..clock import SystemClock
from ..mesh import MeshNode
from ..mesh.log import LogWriter
from .adapter import make_adapter
from .settings import SETTINGS_VARIABLE, read_mesh_settings

__all__ = ["main"]

_SIGNALS = {signal.SIGTERM, signal.SIGHUP}
_EXIT_CONFIG = 78  # EX_CONFIG of sysexits.h
# The interpreter's default; a shorter interval wakes more tasks to no benefit.
_SWITCH_INTERVAL_S = 0.005
_GC_THRESHOLD = 10_000  # objects; calls create few reference cycles
_SETTINGS_POLL_S = 1.0  # longest delay until a changed settings file is noticed
_LOG_FLUSH_TIMEOUT = timedelta(milliseconds=200)  # the log reader may have stalled


def main() -> None:
    """Run a node until SIGTERM, then exit the process."""
    # Blocked before the first thread starts, so that no thread gets them. They wait for
    # the loop below: a handler could run while another one holds the lock of an event.
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    limit_arenas()
    log = LogWriter(sys.stdout.buffer)
    writers = ThreadPoolExecutor(1, thread_name_prefix="log")
    log.start(writers)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    result = read_mesh_settings(Path(path))
    if result.is_error():
        for problem in result.error:
            eliot.log_message("settings:invalid", problem=problem)
        _exit(log, _EXIT_CONFIG)
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    node = MeshNode(result.ok, make_adapter(), SystemClock())
    node.start()
    # Objects allocated during startup live as long as the process.
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    eliot.log_message("node:start", node=result.ok.node, service=result.ok.service)
    known_stamp = _read_stamp(path)
    while (received := _wait_for_signal()) != signal.SIGTERM:
        stamp = _read_stamp(path)
        # The file may also change without a signal.
        if received == signal.SIGHUP or stamp != known_stamp:
            known_stamp = stamp
            _reload(node, Path(path))
    clean = node.stop()
    eliot.log_message("node:stop", clean=clean)
    _exit(log, 0)


def _wait_for_signal() -> int | None:
    """Return the next signal, or None after the time between polls of the settings."""
    received = signal.sigtimedwait(_SIGNALS, _SETTINGS_POLL_S)
    return received.si_signo if received else None


def _reload(node: MeshNode, path: Path) -> None:
    result = read_mesh_settings(path)
    if result.is_ok():
        node.reload(result.ok)
        return
    for problem in result.error:
        eliot.log_message("settings:invalid", problem=problem, kept=True)


def _read_stamp(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next poll reads the new one.
        return 0, 0
    return status.st_mtime_ns, status.st_size


def _exit(log: LogWriter, status: int) -> NoReturn:
    log.flush(_LOG_FLUSH_TIMEOUT)
    # Tasks blocked on the next request or response would keep the process alive.
    os._exit(status)


if __name__ == "__main__":
    main()
