"""Decoding of valid and malformed configurations and heartbeats."""

from __future__ import annotations

import copy
import json
from datetime import timedelta

import pytest

from cyclamenvane.mesh.model import Incarnation, RouteShare
from cyclamenvane.platform.documents import decode_configuration, decode_heartbeat

CONFIGURATION = {
    "version": "r7",
    "routes": [
        {
            "name": "r-1",
            "host": "Shop.example",
            "prefix": "/items/",
            "routeType": "idempotent",
            "timeoutS": 0.8,
            "targetLatencyS": 0.15,
            "priority": 2,
            "maxAttempts": 2,
            "weightedServices": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
        },
        {
            "name": "r-2",
            "host": "shop.example",
            "prefix": "/up/",
            "routeType": "upload",
            "timeoutS": 5,
            "targetLatencyS": 1.2,
            "priority": 0,
            "maxAttempts": 1,
            "service": "a",
        },
    ],
    "services": [
        {"name": "a", "healthPath": "/healthz", "maxConnections": 892},
        {"name": "b", "healthPath": "/healthz", "maxConnections": 10},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "fieldOfALaterVersion": 1,
}
HEARTBEAT = {
    "address": "10.0.0.9:8080",
    "info": {"service": "a", "version": "v1", "zone": "z", "capacity": 90},
    "status": {"state": "healthy", "sequence": 4, "warmupLeftS": 1.5},
    "born": 1700000000000,
}


def change(document, path, value):
    changed = copy.deepcopy(document)
    *parents, field = path
    parent = changed
    for key in parents:
        parent = parent[key]
    if value is None:
        del parent[field]
    else:
        parent[field] = value
    return json.dumps(changed).encode()


def test_configuration_is_decoded():
    decoded = decode_configuration(json.dumps(CONFIGURATION).encode()).ok
    assert decoded.version == 7
    first, second = decoded.routes
    assert first.shares == (RouteShare("a", 90.0), RouteShare("b", 10.0))
    assert first.host == "shop.example" and first.idempotent
    assert first.timeout == timedelta(milliseconds=800)
    assert first.target_latency == timedelta(milliseconds=150)
    assert second.shares == (RouteShare("a", 1.0),) and not second.idempotent
    assert decoded.services["a"].max_connections == 892
    assert decoded.limits.idle_timeout == timedelta(seconds=15)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["version"], "7"),
        (["version"], None),
        (["routes"], {}),
        (["routes", 0, "routeType"], "maybe"),
        (["routes", 0, "timeoutS"], "5"),
        (["routes", 0, "weightedServices"], []),
        (["routes", 1, "priority"], None),
        (["services", 0, "name"], 5),
        (["limits"], None),
    ],
)
def test_malformed_configuration_is_an_error(path, value):
    assert decode_configuration(change(CONFIGURATION, path, value)).is_error()


def test_bytes_without_a_json_object_are_an_error():
    valid = json.dumps(CONFIGURATION).encode()
    assert decode_configuration(valid[:-20]).is_error()
    assert decode_configuration(b"\xff\x00").is_error()
    assert decode_configuration(b"[]").is_error()


def test_heartbeat_is_decoded():
    decoded = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).ok
    assert decoded.incarnation == Incarnation(1700000000000, "i-1")
    assert decoded.address == ("10.0.0.9", 8080)
    assert (decoded.slots, decoded.sequence, decoded.draining) == (90, 4, False)
    assert decoded.warmup == timedelta(seconds=1.5)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (["address"], "nowhere"),
        (["address"], 5),
        (["born"], 1.5),
        (["born"], None),
        (["info"], None),
        (["info", "service"], 7),
        (["info", "capacity"], "90"),
        (["info", "capacity"], 0),
        (["status", "state"], "resting"),
        (["status", "sequence"], True),
        (["status", "warmupLeftS"], None),
    ],
)
def test_malformed_heartbeat_is_an_error(path, value):
    assert decode_heartbeat("i-1", change(HEARTBEAT, path, value)).is_error()
