"""HTTP headers that callers, nodes and targets exchange on the platform.

`HEADERS` lists those that the mesh sets or reads; the mesh refers to them only by
the fields of `HeaderNames`.
"""

from __future__ import annotations

from ..mesh.heads import HeaderNames

__all__ = ["HEADERS", "parse_ancestor_ids", "parse_key"]

HEADERS = HeaderNames(
    # Identifies one attempt of a caller; targets echo it.
    attempt=b"x-attempt-id",
    # Remaining time in milliseconds, not a point in time.
    remaining_ms=b"x-deadline-ms",
    # The only instance that may run the request; others respond with status 421.
    required_instance=b"x-expected-instance",
    # The service on whose VM the request originated.
    origin_service=b"x-caller-service",
    # Proves that the response body was sent by the target itself.
    signature=b"x-upstream-signature",
    # The target has not run the request and will not.
    not_run=b"x-not-executed",
    instance=b"x-instance-id",
    # Sent by a target in need, for as long as the limit holds.
    rate_limit=b"server-limit",
    # Sent by a target in all responses once it is leaving.
    leaving=b"server-leaving",
    # Carries the key of a client account; targets never get it.
    credentials=b"authorization",
    # The name of the account, for targets.
    account=b"x-tenant-id",
)
_KEY_SCHEME = b"token"


def parse_ancestor_ids(attempt: bytes) -> tuple[bytes, ...]:
    """Return the attempt ids of a call's ancestors, root first, and its own last.

    A target derives the ids of its calls from the id of the call that it serves:

        >>> parse_ancestor_ids(b"7f.02")
        (b'7f', b'7f.02')
    """
    parts = attempt.split(b".")
    return tuple(b".".join(parts[: end + 1]) for end in range(len(parts)))


def parse_key(value: bytes) -> bytes | None:
    """Return the key of a client account in the value of its header.

    The name of the scheme is not case-sensitive:

        >>> parse_key(b"Token k-1")
        b'k-1'
    """
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    return key if key and scheme.lower() == _KEY_SCHEME else None
