"""Rows in the platform's table through which a starting node finds other nodes.

Each node keeps one row and renews it a few times an hour. A starting node reads
some rows of each zone; the seeds from its settings let it join when the platform
cannot be read. One reply is enough, since it contains the complete view of the node
that sent it.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from expression import Result

from ..store import PlatformError, Table, Write
from .member import MalformedMember, Member, dump_member, load_member

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ROW_LIFETIME", "ROW_RENEWAL", "read_rows", "write_row"]

ROW_RENEWAL = timedelta(minutes=10)
ROW_LIFETIME = timedelta(minutes=30)
_MAX_ROWS_READ = 64
_PREFIX = "nodes/"


def write_row(table: Table, member: Member) -> Result[None, PlatformError]:
    """Write or renew the row of a node."""
    key = f"{_PREFIX}{member.zone}/{member.name}"
    return table.commit([Write(key, dump_member(member), lifetime=ROW_LIFETIME)])


def read_rows(table: Table, zone: str) -> Result[tuple[Member, ...], PlatformError]:
    """Return members from the rows of a zone, or of all zones if `zone` is empty.

    Malformed rows are skipped.
    """
    prefix = f"{_PREFIX}{zone}/" if zone else _PREFIX
    rows = table.scan(prefix, _MAX_ROWS_READ)
    return rows.map(lambda found: tuple(_load_rows(row.value for row in found)))


def _load_rows(values: Iterable[bytes]) -> Iterable[Member]:
    for value in values:
        try:
            yield load_member(value)
        except MalformedMember:
            continue
