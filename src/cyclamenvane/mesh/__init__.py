"""The node of a mesh: callers, nodes and targets joined call by call.

`MeshNode` is the process beside one target. A `MeshAdapter` tells it how a
platform speaks; the adapter of the users' platform is `cyclamenvane.platform`.
"""

from __future__ import annotations

from .adapter import MeshAdapter
from .model import Configuration, Heartbeat, MeshSettings, NodeRecord, Route
from .node import MeshNode

__all__ = [
    "Configuration",
    "Heartbeat",
    "MeshAdapter",
    "MeshNode",
    "MeshSettings",
    "NodeRecord",
    "Route",
]
