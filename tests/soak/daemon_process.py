"""The mesh daemon as a separate process, controlled by signals."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

GRACE_PERIOD_S = 6.0
_MARGIN_S = 3.0  # of a busy machine
SETTINGS = """\
nodeId={name}
zone={zone}
ip={host}
zones.a=r
zones.b=r
service={service}
listen.outbound={host}:{ports.caller}
listen.readinessAddress={host}:{ports.ready}
listen.admin={host}:{ports.admin}
internalPortRange={ports.peer},{ports.last_peer}
limits.memoryLimitMb=300
limits.maxOpenFiles=2000
bounds=drainTimeoutS=1,gracePeriodS=6,retryBudgetRatio=0.2,retryWindowS=10,\
budgetSlack=49,stableWindowS=3,strictRevocation={strict},revocationS=5,\
quotaWindowS=5,quotaOvershoot=0.1,quotaTolerance=20
upstreamAddress={target[0]}:{target[1]}
platform.address={store[0]}:{store[1]}
"""


class DaemonProcess:
    """One daemon; its output of all runs is in one file."""

    def __init__(self, name: str, settings: str, directory: Path) -> None:
        self._name, self._settings = name, settings
        self._path = directory / f"{name}.conf"
        self._log_path = directory / f"{name}.log"
        self._process: subprocess.Popen | None = None
        self.problems: list[str] = []

    def start(self) -> None:
        """Start the program; the first start is that of the whole fleet."""
        first = "bootstrap=true\n" if self._process is None else ""
        self._path.write_text(self._settings + first)
        environment = os.environ | {"CYCLAMENVANE_BOOT": str(self._path)}
        command = [sys.executable, "-m", "cyclamenvane.platform.daemon"]
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )

    def process_id(self) -> int:
        """Return the ID of the process of the last start."""
        assert self._process is not None
        return self._process.pid

    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process, which should be running."""
        assert self._process is not None
        status = self._process.poll()
        if status is not None:
            self._add_problem(f"has ended by itself with status {status}")
        self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, also if it is paused."""
        self.send(signal.SIGKILL)
        self._wait(_MARGIN_S)

    def stop(self) -> None:
        """Ask the process to stop, and end it if it does not."""
        self.send(signal.SIGTERM)
        status = self._wait(GRACE_PERIOD_S + _MARGIN_S)
        if status is None:
            self.kill()
        elif status != 0:
            self._add_problem(f"stopped with status {status}")

    def _wait(self, seconds: float) -> int | None:
        assert self._process is not None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._add_problem(f"has not ended within {seconds} s")
            return None

    def _add_problem(self, text: str) -> None:
        self.problems.append(f"{self._name} {text} at {time.monotonic():.1f}")
