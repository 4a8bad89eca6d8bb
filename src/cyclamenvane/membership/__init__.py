"""Membership of nodes and their targets, maintained by gossip."""

from __future__ import annotations

from .gossip import Gossip, bind_gossip
from .member import (
    MalformedMember,
    Member,
    Standing,
    TargetRecord,
    pack_member,
    unpack_member,
)
from .roster import ROW_RENEWAL, read_rows, write_row
from .view import BUCKETS, Change, View

__all__ = [
    "BUCKETS",
    "ROW_RENEWAL",
    "Change",
    "Gossip",
    "MalformedMember",
    "Member",
    "Standing",
    "TargetRecord",
    "View",
    "bind_gossip",
    "pack_member",
    "read_rows",
    "unpack_member",
    "write_row",
]
