"""Odd values in the configuration and in heartbeats of targets."""

from __future__ import annotations

import itertools
import json
import time
from datetime import timedelta

import pytest
from mesh_harness import make_request, route, wait_until

from cyclamenvane.platform.documents import decode_configuration, decode_heartbeat

HUGE = 2**64 - 1
ODD_NUMBERS = (0, -1, 2**31, 2**53, HUGE, 1e18, 1e308, -1e308, 8.5e13, 1e-300)


@pytest.mark.parametrize(
    "field", ["timeoutS", "targetLatencyS", "priority", "maxAttempts"]
)
def test_odd_numbers_of_a_route_end_no_node(watched, field):
    """Guards against a number of the configuration that fails only in a call."""
    mesh, list_broken = watched
    entry = mesh.add("stock")
    for number, value in enumerate(ODD_NUMBERS):
        version = mesh.configure(route(), route("odd", "/odd/", **{field: value}))
        wait_until(lambda: entry.node.configuration.version() == version)
        entry.call("/odd/", attempt=f"b{number}", deadline_ms=300)
        assert entry.call(attempt=f"a{number}").status == 200
    assert not list_broken()


@pytest.mark.parametrize(
    "field", ["maxHeaderBytes", "maxBodyBytes", "headerTimeoutS", "idleTimeoutS"]
)
def test_odd_limits_end_no_node(watched, field):
    """Guards against a limit that fails only once a connection uses it."""
    mesh, list_broken = watched
    entry = mesh.add("stock")
    for number, value in enumerate(ODD_NUMBERS):
        if 0 <= value < 1e-3:
            continue  # a time that no request meets
        version = mesh.configure(route(), **{field: value})
        wait_until(lambda: entry.node.configuration.version() == version)
        with entry.connect() as sock:
            sock.sendall(make_request(attempt=f"c{number}")[:20])
            time.sleep(0.05)  # the node waits for the rest
            sock.sendall(make_request(attempt=f"c{number}")[20:])
            assert sock.recv(65536)
    assert not list_broken()


@pytest.mark.parametrize(
    "weights", [[1e308, 1e308], [0, 0], [HUGE, 1], [5e-324, 5e-324]]
)
def test_odd_weights_end_no_node(watched, weights):
    mesh, list_broken = watched
    entry = mesh.add("stock")
    parts = [{"service": "stock", "weight": weight} for weight in weights]
    odd = route("odd", "/odd/", weightedServices=parts)
    del odd["service"]
    mesh.configure(odd)
    wait_until(lambda: entry.node.configuration.version() == 5)
    assert entry.call("/odd/").status == 200
    assert not list_broken()


@pytest.mark.parametrize("version", ["r" + "9" * 30, "r-1", "r" + "9" * 5000, "r", "9"])
def test_odd_version_is_no_configuration(version):
    """Guards against a version that no frame between nodes can hold."""
    document = {"version": version, "routes": [], "services": [], "limits": {}}
    assert decode_configuration(json.dumps(document).encode()).is_error()


HEARTBEAT = {
    "address": "127.0.0.1:80",
    "born": 1,
    "info": {"service": "stock", "zone": "a", "version": "v1", "capacity": 4},
    "status": {"state": "healthy", "sequence": 1, "warmupLeftS": 0},
}


def list_odd_heartbeats():
    nested = json.loads("[" * 200 + "]" * 200)
    odd = (None, True, "", "x", [], {}, nested, -1, 1e400, HUGE, 2**70)
    for value, path in itertools.product(
        odd, ("address", "born", "info", "status", "info.service", "info.zone")
    ):
        yield path, value
    for value, path in itertools.product(
        odd, ("info.capacity", "status.state", "status.sequence", "status.warmupLeftS")
    ):
        yield path, value
    for port in ("99999", "-1", "0", "x", "", "9" * 5000):
        yield "address", f"127.0.0.1:{port}"


@pytest.mark.parametrize("seconds", [HUGE, 8.5e13, 1e308, 864_001])
def test_durations_are_limited(seconds):
    """Guards against a duration that cannot be added to a time or waited for."""
    document = {"version": "r1", "routes": [route(timeoutS=seconds)], "services": []}
    decoded = decode_configuration(json.dumps(document).encode()).ok
    assert decoded.routes[0].timeout == timedelta(days=10)


def test_odd_heartbeats_end_no_node(watched):
    """Guards against a heartbeat whose values fail only once they are used."""
    mesh, list_broken = watched
    remote = mesh.add()
    for path, value in list_odd_heartbeats():
        document = json.loads(json.dumps(HEARTBEAT))
        *parents, name = path.split(".")
        inner = document[parents[0]] if parents else document
        inner[name] = value
        body = json.dumps(document).replace("Infinity", "1e400")
        connection_status = remote.send_admin_request("PUT", body)
        assert connection_status in (200, 400), (path, value)
    assert not list_broken()


@pytest.mark.parametrize("port", ["99999", "-1", "0", "x", "", "9" * 5000])
def test_heartbeat_with_an_odd_port_is_an_error(port):
    document = HEARTBEAT | {"address": f"127.0.0.1:{port}"}
    assert decode_heartbeat("i-1", json.dumps(document).encode()).is_error()
