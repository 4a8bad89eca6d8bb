"""A mesh node, which routes each call from a caller to a target.

`MeshNode` is the sidecar of one target. A `MeshAdapter` defines the protocol of
a platform; the adapter of the users' platform is `cyclamenvane.platform`.
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
