"""The type of a problem of a document, with its place."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Problem"]


@dataclass(frozen=True, slots=True)
class Problem:
    """A part of a document that cannot be decoded, and what is done without it.

    `place` is its path in the document, such as `routes[2]`.
    """

    place: str
    text: str
