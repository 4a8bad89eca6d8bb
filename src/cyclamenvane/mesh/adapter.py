"""The platform-specific parts of a mesh node."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from expression import Result

from .admin import AdminProtocol
from .heads import HeaderNames
from .model import Address, Configuration
from .rows import RowStore

__all__ = ["MeshAdapter"]


@dataclass(frozen=True, slots=True)
class MeshAdapter:
    """The functions and names of a platform that a mesh node uses.

    `parse_ancestor_ids` returns the attempt IDs of a call's ancestors and of the
    call, the root first. A call without ancestors is its own root. Calls to the store
    fail after `store_timeout`, in addition to what they let the store wait. `parse_key`
    returns the key of a client account that a header's value carries.
    """

    header_names: HeaderNames
    admin: AdminProtocol
    configuration_table: str
    configuration_key: str
    open_store: Callable[[Address], RowStore]
    store_timeout: timedelta
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    parse_ancestor_ids: Callable[[bytes], tuple[bytes, ...]]
    parse_key: Callable[[bytes], bytes | None]
