"""Gossip datagrams, signed with the nodes' shared key.

A datagram is a msgpack array followed by a keyed BLAKE2 hash. Datagrams that are
too large, wrongly signed or malformed are dropped.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from .member import MalformedMember, Member, pack_member, unpack_member

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Datagram",
    "Kind",
    "decode_datagram",
    "encode_datagram",
]

MAX_DATAGRAM_BYTES = 1400
_HASH_BYTES = 12


class Kind(IntEnum):
    """The type of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    SECTION_NOTICE = 3
    DIGEST_REQUEST = 4
    DIGEST_REPLY = 5


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message between two nodes.

    `sequence` matches a reply to its request. `subject` is the member that a
    PING_REQUEST asks to probe, or the section of a SECTION_NOTICE, whose `version`
    it gives. `policy_digest` and `view_digest` are digests of the sender's sections
    and members, `updates` its recent membership updates.
    """

    kind: Kind
    sequence: int
    sender: str
    incarnation: int
    policy_digest: int
    view_digest: int
    subject: str = ""
    version: int = 0
    updates: tuple[Member, ...] = ()


def encode_datagram(datagram: Datagram, key: bytes) -> bytes:
    """Return a datagram as signed bytes, without the updates that do not fit."""
    fields = (
        int(datagram.kind),
        datagram.sequence,
        datagram.sender,
        datagram.incarnation,
        datagram.policy_digest,
        datagram.view_digest,
        datagram.subject,
        datagram.version,
    )
    updates: list[Any] = []
    free_bytes = (
        MAX_DATAGRAM_BYTES - _HASH_BYTES - len(msgpack.packb((*fields, ()))) - 2
    )
    for member in datagram.updates:
        packed = pack_member(member)
        free_bytes -= len(msgpack.packb(packed))
        if free_bytes < 0:
            break
        updates.append(packed)
    data = msgpack.packb((*fields, updates))
    return data + _sign(data, key)


def decode_datagram(raw: bytes, key: bytes) -> Datagram | None:
    """Return the datagram in signed bytes, or None if it is invalid."""
    data, signature = raw[:-_HASH_BYTES], raw[-_HASH_BYTES:]
    if not hmac.compare_digest(signature, _sign(data, key)):
        return None
    try:
        kind, sequence, *rest, updates = msgpack.unpackb(data, use_list=False)
        members = tuple(unpack_member(each) for each in updates)
        return Datagram(Kind(kind), sequence, *rest, updates=members)
    except (ValueError, TypeError, MalformedMember, msgpack.UnpackException):
        return None


def _sign(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key[:64], digest_size=_HASH_BYTES).digest()
