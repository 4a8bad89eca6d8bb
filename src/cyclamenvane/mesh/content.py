"""Identifies a request by what a target gets: method, path, host and body.

Attempts of one request have different IDs and may come through any node. The platform
does not tell callers apart, so the same request of two callers is one content.
"""

from __future__ import annotations

import hashlib

__all__ = ["CONTENT_BYTES", "LINE_BYTES", "digest_content", "digest_line"]

LINE_BYTES = 8  # the beginning of a content's digest identifies all but the body
_BODY_BYTES = 8
CONTENT_BYTES = LINE_BYTES + _BODY_BYTES
_HOST = b"\r\nhost: "


def digest_line(head: bytes) -> bytes:
    """Return the digest of a head's request line and host."""
    line = head.partition(b"\r\n")[0]
    start = head.find(_HOST)
    host = b""
    if start >= 0:
        start += len(_HOST)
        host = head[start : head.find(b"\r\n", start)]
    return hashlib.blake2b(line + b"\n" + host, digest_size=LINE_BYTES).digest()


def digest_content(head: bytes, body: bytes) -> bytes:
    """Return the digest of a request, which begins with that of its line."""
    body_digest = hashlib.blake2b(body, digest_size=_BODY_BYTES).digest()
    return digest_line(head) + body_digest
