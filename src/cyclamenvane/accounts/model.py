"""The data types of client accounts: frozen, without behaviour."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Account"]


@dataclass(frozen=True, slots=True)
class Account:
    """A client account of the configuration.

    `priority` 0 is the most important; it goes before the priority of a route. All
    nodes together let in `rate` calls a second and `burst` more; a rate of 0 is no
    limit.
    """

    name: str
    priority: int
    rate: float = 0.0
    burst: float = 0.0
