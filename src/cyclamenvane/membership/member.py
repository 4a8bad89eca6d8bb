"""What nodes tell each other about a node and the targets on its VM."""

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
    """How a member is seen; of one incarnation, the larger number wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MalformedMember(ValueError):
    """The fields describe no member."""


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as its node describes it to others.

    `address` is the target's own `host:port`, `slots` the requests it serves
    at once. A cold target has just started and warms up under light load.
    """

    service: str
    address: str
    slots: int
    cold: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Member:
    """One node: where it listens and which targets it stands before.

    `session` names one run of its process. `incarnation` orders what is said
    about it: only the node itself raises its own, to correct others.
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
    def order(self) -> tuple[int, int]:
        """The rank of this description among those of the same member."""
        return self.incarnation, self.standing

    def stand(self, standing: Standing) -> Member:
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
    """Return the member in a tuple of plain values; raises MalformedMember."""
    try:
        *head, targets, standing = values
        records = tuple(TargetRecord(*each) for each in targets)
        member = Member(*head, targets=records, standing=Standing(standing))
    except (TypeError, ValueError) as error:
        raise MalformedMember(str(error)) from error
    if not _is_sound(member):
        raise MalformedMember(f"member holds a field of the wrong type: {member.name}")
    return member


def _is_sound(member: Member) -> bool:
    texts = (member.name, member.session, member.zone, member.region, member.host)
    numbers = (member.incarnation, member.stream_port, member.gossip_port)
    return (
        all(type(text) is str for text in texts)
        and all(type(number) is int and number >= 0 for number in numbers)
        and all(_is_sound_record(record) for record in member.targets)
    )


def _is_sound_record(record: TargetRecord) -> bool:
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
    """Return the member in a row's bytes; raises MalformedMember."""
    try:
        values = msgpack.unpackb(data, use_list=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise MalformedMember(str(error)) from error
    return unpack_member(values)
