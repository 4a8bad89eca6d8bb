"""What a mesh node needs of a platform, put together by its adapter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from .admin import AdminDialect
from .heads import HeaderNames
from .model import Address, Configuration
from .rows import RowStore

__all__ = ["MeshAdapter"]


@dataclass(frozen=True, slots=True)
class MeshAdapter:
    """What a mesh node needs of a platform.

    `read_lineage` returns the names of a call's ancestors and its own, the root
    first. The root of a call without ancestors is the call itself.
    """

    names: HeaderNames
    admin: AdminDialect
    configuration_table: str
    configuration_key: str
    open_store: Callable[[Address], RowStore]
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    read_lineage: Callable[[bytes], tuple[bytes, ...]]
