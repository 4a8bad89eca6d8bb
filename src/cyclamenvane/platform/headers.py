"""The headers that callers, nodes and targets exchange on the platform.

`HEADERS` names those that the mesh sets or reads; the mesh itself knows them by
the fields of `HeaderNames` only.
"""

from __future__ import annotations

from ..mesh.heads import HeaderNames

__all__ = ["HEADERS", "read_lineage"]

HEADERS = HeaderNames(
    # Names one attempt of a caller, and is echoed by targets.
    attempt=b"x-attempt-id",
    # Milliseconds that are left, not a point in time.
    remaining_ms=b"x-deadline-ms",
    # Names the instance that alone may run the request; others answer 421.
    required_instance=b"x-expected-instance",
    # The service on whose VM the request began.
    origin_service=b"x-caller-service",
    # Vouches that the answer's body is the target's own.
    signature=b"x-upstream-signature",
    # The target has not run the request and will not.
    not_run=b"x-not-executed",
    instance=b"x-instance-id",
)


def read_lineage(attempt: bytes) -> tuple[bytes, ...]:
    """Return the attempts of a call's ancestors and its own, the root first.

    Targets name their own calls after the call that they make them for:

        >>> read_lineage(b"7f.02")
        (b'7f', b'7f.02')
    """
    parts = attempt.split(b".")
    return tuple(b".".join(parts[: end + 1]) for end in range(len(parts)))
