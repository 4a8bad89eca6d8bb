"""The datagrams of the gossip, signed with the nodes' shared key.

A datagram is a msgpack array followed by a keyed BLAKE2 hash. One that is too
large, wrongly signed or malformed is dropped.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from .member import MalformedMember, Member, pack_member, unpack_member

__all__ = ["MAX_DATAGRAM_BYTES", "Datagram", "Kind", "open_datagram", "seal_datagram"]

MAX_DATAGRAM_BYTES = 1400
_HASH_BYTES = 12


class Kind(IntEnum):
    """What a datagram is for."""

    PING = 0
    ACK = 1
    RELAY = 2
    NOTICE = 3
    ASK = 4
    TELL = 5


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message between two nodes.

    `number` pairs an ACK with its PING. `subject` names the member that a RELAY
    asks to probe or that its ACK is about, or the section that a NOTICE is
    about, whose `version` it gives. `policy` and `view` are digests of the
    sender's sections and members, `updates` what it has lately learned.
    """

    kind: Kind
    number: int
    sender: str
    incarnation: int
    policy: int
    view: int
    subject: str = ""
    version: int = 0
    updates: tuple[Member, ...] = ()


def seal_datagram(datagram: Datagram, key: bytes) -> bytes:
    """Return a datagram as signed bytes, leaving out updates that do not fit."""
    head = (
        int(datagram.kind),
        datagram.number,
        datagram.sender,
        datagram.incarnation,
        datagram.policy,
        datagram.view,
        datagram.subject,
        datagram.version,
    )
    updates: list[Any] = []
    room = MAX_DATAGRAM_BYTES - _HASH_BYTES - len(msgpack.packb((*head, ()))) - 2
    for member in datagram.updates:
        packed = pack_member(member)
        room -= len(msgpack.packb(packed))
        if room < 0:
            break
        updates.append(packed)
    data = msgpack.packb((*head, updates))
    return data + _sign(data, key)


def open_datagram(raw: bytes, key: bytes) -> Datagram | None:
    """Return the datagram in signed bytes, or None when it is not sound."""
    data, mark = raw[:-_HASH_BYTES], raw[-_HASH_BYTES:]
    if not hmac.compare_digest(mark, _sign(data, key)):
        return None
    try:
        kind, number, *rest, updates = msgpack.unpackb(data, use_list=False)
        members = tuple(unpack_member(each) for each in updates)
        return Datagram(Kind(kind), number, *rest, updates=members)
    except (ValueError, TypeError, MalformedMember, msgpack.UnpackException):
        return None


def _sign(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key[:64], digest_size=_HASH_BYTES).digest()
