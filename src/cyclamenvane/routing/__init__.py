"""Routing: which target a call goes to, and how often it is tried."""

from __future__ import annotations

from .choice import Chooser, rank_rendezvous
from .directory import Directory, Endpoint
from .keyed import EpochBook, KeyedRouter
from .link import Link, pack_request
from .peer import PeerPool
from .router import LocalServe, Router, name_route
from .track import TargetTrack

__all__ = [
    "Chooser",
    "Directory",
    "Endpoint",
    "EpochBook",
    "KeyedRouter",
    "Link",
    "LocalServe",
    "PeerPool",
    "Router",
    "TargetTrack",
    "name_route",
    "pack_request",
    "rank_rendezvous",
]
