"""Routing: selects the target of each call, and sends and retries the call."""

from __future__ import annotations

from .directory import Directory, Endpoint
from .keyed import EpochCache, KeyedRouter
from .node_client import NodeClient, make_request_frame
from .peer import PeerPool
from .router import LocalServe, Router, name_route
from .selection import TargetSelector, pick_by_rendezvous
from .target_health import TargetHealth

__all__ = [
    "Directory",
    "Endpoint",
    "EpochCache",
    "KeyedRouter",
    "LocalServe",
    "NodeClient",
    "PeerPool",
    "Router",
    "TargetHealth",
    "TargetSelector",
    "make_request_frame",
    "name_route",
    "pick_by_rendezvous",
]
