"""The node: the small process that stands beside the targets on a VM."""

from __future__ import annotations

from .node import Node

__all__ = ["Node"]
