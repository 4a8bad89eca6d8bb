"""Descriptions of nodes and the targets on their VMs, as exchanged by nodes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import Any

import msgpack

__all__ = [
    "MalformedMember",
    "Member",
    "Standing",
    "TargetRecord",
    "pack_member",
    "unpack_member",
]


class Standing(IntEnum):
    """The state of a member; within one incarnation the larger number wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MalformedMember(ValueError):
    """The fields do not form a valid member."""


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """The description of a target that its node sends to other nodes.

    `address` is the target's own `host:port`, `slots` the number of requests it
    serves concurrently. A cold target has just started and warms up under light
    load.
    """

    service: str
    address: str
    slots: int
    cold: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """One node: the addresses it listens on and the targets it serves.

    `session` identifies its process, from start to exit. `incarnation` orders the
    descriptions of a node: only the node itself increments its own, to supersede
    outdated or wrong descriptions.
    """

    name: str
    session: str
    incarnation: int
    zone: str
    region: str
    host: str
    stream_port: int
    gossip_port: int
    targets: tuple[TargetRecord, ...] = ()
    standing: Standing = Standing.ALIVE

    @property
    def precedence(self) -> tuple[int, int]:
        """The sort key of this description among those of the same member."""
        return self.incarnation, self.standing

    def with_standing(self, standing: Standing) -> Member:
        """Return the same member with another standing."""
        return replace(self, standing=standing)


def pack_member(member: Member) -> tuple[Any, ...]:
    """Return a member as a tuple of plain values."""
    targets = tuple(
        (each.service, each.address, each.slots, each.cold, each.leaving)
        for each in member.targets
    )
    return (
        member.name,
        member.session,
        member.incarnation,
        member.zone,
        member.region,
        member.host,
        member.stream_port,
        member.gossip_port,
        targets,
        int(member.standing),
    )


def unpack_member(values: Any) -> Member:
    """Return the member packed by `pack_member`; raise MalformedMember."""
    try:
        *fields, targets, standing = values
        records = tuple(TargetRecord(*each) for each in targets)
        member = Member(*fields, targets=records, standing=Standing(standing))
    except (TypeError, ValueError) as error:
        raise MalformedMember(str(error)) from error
    if not _is_valid(member):
        raise MalformedMember(f"member has a field of the wrong type: {member.name}")
    return member


def _is_valid(member: Member) -> bool:
    texts = (member.name, member.session, member.zone, member.region, member.host)
    numbers = (member.incarnation, member.stream_port, member.gossip_port)
    return (
        all(type(text) is str for text in texts)
        and all(type(number) is int and number >= 0 for number in numbers)
        and all(_is_valid_record(record) for record in member.targets)
    )


def _is_valid_record(record: TargetRecord) -> bool:
    return (
        type(record.service) is str
        and type(record.address) is str
        and type(record.slots) is int
        and type(record.cold) is bool
        and type(record.leaving) is bool
    )


def dump_member(member: Member) -> bytes:
    """Return a member as bytes, for a row of the platform's table."""
    return msgpack.packb(pack_member(member))


def load_member(data: bytes) -> Member:
    """Return the member in the bytes of a row; raise MalformedMember."""
    try:
        values = msgpack.unpackb(data, use_list=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise MalformedMember(str(error)) from error
    return unpack_member(values)
