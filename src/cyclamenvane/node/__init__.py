"""The node: the process that runs beside the targets on a VM."""

from __future__ import annotations

from .node import Node

__all__ = ["Node"]
