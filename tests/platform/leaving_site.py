"""Two daemons as processes, of which one has a target that leaves."""

from __future__ import annotations

import http.client
import itertools
import json
import time
from contextlib import suppress

from daemon_process import SETTINGS, DaemonProcess
from mesh_harness import NETWORK, accepts_connections, route, wait_until
from soak_site import PORTS
from target_standin import TargetStandIn

_START_S = 20.0
_ACKNOWLEDGEMENT_S = 1.0  # in which a target takes an answer for one
_TABLE = "cyclamenvane-nodes"


class LeavingSite:
    """The daemon `beside` a target, and the daemon `entry` that callers use.

    A target sends `make_heartbeat` with a new sequence each time, so a heartbeat that
    is sent later than it was made is a late one.
    """

    def __init__(self, store, directory) -> None:
        self.store = store
        entry, self._host = f"{NETWORK}.91", f"{NETWORK}.92"
        self._entry_address = entry, PORTS.caller
        self.target = TargetStandIn(instance="i-1", host=self._host)
        self.born = int(time.time() * 1000) - 10_000
        self._sequence = itertools.count(1)
        self.entry = self._make_daemon("n-0", entry, "desk", (entry, 1), directory)
        self.beside = self._make_daemon(
            "n-1", self._host, "stock", self.target.address, directory
        )
        document = {
            "version": "r1",
            "routes": [route(maxAttempts=1, timeoutS=1)],
            "services": [{"name": "stock", "healthPath": "/h", "maxConnections": 99}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1_000_000,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
        }
        store.put("op", "", "config", json.dumps(document).encode())

    def _make_daemon(
        self, name: str, host: str, service: str, target, directory
    ) -> DaemonProcess:
        settings = SETTINGS.format(
            name=name,
            zone="a",
            host=host,
            service=service,
            ports=PORTS,
            strict="false",
            target=target,
            store=self.store.address,
        )
        return DaemonProcess(name, settings, directory)

    def start(self) -> None:
        """Start both daemons and the target; wait until calls are served."""
        self.entry.start()
        self.beside.start()
        self.wait_until_listening()
        assert self.send_heartbeat() == 200
        wait_until(lambda: self.call() == 200, _START_S)

    def restart(self, daemon: DaemonProcess) -> None:
        daemon.kill()
        daemon.start()

    def wait_until_listening(self) -> None:
        """Wait until the daemon beside the target takes heartbeats."""
        wait_until(lambda: accepts_connections((self._host, PORTS.admin)), _START_S)

    def close(self) -> None:
        self.store.unresponsive = False
        for daemon in (self.entry, self.beside):
            if daemon.is_running():
                daemon.kill()
        self.target.crash()
        assert not self.entry.problems and not self.beside.problems

    def make_heartbeat(self, state: str = "healthy") -> dict:
        host, port = self.target.address
        return {
            "address": f"{host}:{port}",
            "born": self.born,
            "info": {"service": "stock", "zone": "a", "version": "v1", "capacity": 16},
            "status": {
                "state": state,
                "sequence": next(self._sequence),
                "warmupLeftS": 0,
            },
        }

    def send_heartbeat(self, heartbeat: dict | None = None) -> int:
        return self._send("PUT", heartbeat or self.make_heartbeat())

    def leave(self, way: str) -> int:
        """Announce the shutdown of the target once; return the status, 0 if late."""
        if way == "DELETE":
            return self._send("DELETE", None)
        return self._send("PUT", self.make_heartbeat("draining"))

    def _send(self, method: str, document: dict | None) -> int:
        address = self._host, PORTS.admin
        connection = http.client.HTTPConnection(*address, timeout=_ACKNOWLEDGEMENT_S)
        body = json.dumps(document) if document else None
        path = f"/api/endpoints/{self.target.instance}"
        status = 0
        with suppress(OSError, http.client.HTTPException):
            connection.request(method, path, body)
            status = connection.getresponse().status
        connection.close()
        return status

    def start_target_again(self, instance: str) -> None:
        """Start the next incarnation of the target at the same address."""
        self.target.crash()
        self.target.start_again(instance)
        self.born = int(time.time() * 1000)
        self._sequence = itertools.count(1)

    def call(self) -> int:
        """Call the target through the other daemon; return the status, 0 for none."""
        connection = http.client.HTTPConnection(*self._entry_address, timeout=3)
        headers = {"Host": "shop.example", "X-Attempt-Id": f"{time.time_ns():x}"}
        status = 0
        with suppress(OSError, http.client.HTTPException):
            connection.request("GET", "/items/1", headers=headers)
            status = connection.getresponse().status
        connection.close()
        return status

    def count_runs(self, seconds: float) -> int:
        """Call for a while; return how many of the calls the target ran."""
        before = len(self.target.executed)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.call()
            time.sleep(0.05)
        return len(self.target.executed) - before
