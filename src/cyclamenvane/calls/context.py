"""The context that a call inherits from its root request, and its signed token.

A context is created once, where a call enters the graph, and is passed on with
every call made on behalf of that root. To targets and embedded callers it is sent
as a token in the `Cyclamenvane-Context` header: msgpack fields followed by a
keyed BLAKE2 hash, in URL-safe base64. A token whose hash does not match is
ignored, so the importance of a call cannot be raised by editing its token.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

import msgpack

from .importance import Importance

__all__ = [
    "CONTEXT_HEADER",
    "CallContext",
    "decode_unverified",
    "sign_context",
    "verify_token",
]

CONTEXT_HEADER = "Cyclamenvane-Context"
_HASH_BYTES = 12
_MAX_TOKEN_CHARS = 1024


@dataclass(frozen=True, slots=True)
class CallContext:
    """The properties that a call inherits from its root request.

    `root` identifies the root request, `caller` is the authenticated name of its
    sender, `depth` is the number of hops from the root (0 at the entry),
    `allowance` is the number of extra attempts that the call and all calls below
    it may make, and `dispatch` identifies the dispatch to a target for which the
    token was issued (empty at the entry).
    """

    root: str
    caller: str
    importance: Importance
    depth: int
    allowance: int
    dispatch: str = ""


def sign_context(context: CallContext, key: bytes) -> str:
    """Return the token for a context, signed with the nodes' shared key."""
    fields = msgpack.packb(
        (
            context.root,
            context.caller,
            int(context.importance),
            context.depth,
            context.allowance,
            context.dispatch,
        )
    )
    return base64.urlsafe_b64encode(fields + _sign(fields, key)).decode()


def verify_token(token: str, key: bytes) -> CallContext | None:
    """Return the context in a token, or None if it is not signed with `key`."""
    if not token or len(token) > _MAX_TOKEN_CHARS:
        return None
    try:
        raw = base64.urlsafe_b64decode(token)
    except (binascii.Error, ValueError):
        return None
    fields, signature = raw[:-_HASH_BYTES], raw[-_HASH_BYTES:]
    if not hmac.compare_digest(signature, _sign(fields, key)):
        return None
    return _unpack(fields)


def decode_unverified(token: str) -> CallContext | None:
    """Return the context in a token without verifying it; None if malformed.

    Embedded callers use this for their own token, since they do not have the
    nodes' key; the nodes that they call verify the token.
    """
    try:
        return _unpack(base64.urlsafe_b64decode(token)[:-_HASH_BYTES])
    except (binascii.Error, ValueError, TypeError, msgpack.UnpackException):
        return None


def _unpack(fields: bytes) -> CallContext:
    root, caller, importance, depth, allowance, dispatch = msgpack.unpackb(fields)
    return CallContext(root, caller, Importance(importance), depth, allowance, dispatch)


def _sign(fields: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(fields, key=key[:64], digest_size=_HASH_BYTES).digest()
