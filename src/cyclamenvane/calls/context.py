"""The context that a call inherits from its root, and its signed token.

A context is made once, where a call enters the graph, and every call made on
behalf of that root carries it. Towards targets and embedded callers it travels
as a token in the `Cyclamenvane-Context` header: msgpack fields followed by a
keyed BLAKE2 hash, in URL-safe base64. A token whose hash does not match is
treated as absent, so nobody can raise a call's importance by editing one.
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
    "open_token",
    "read_context",
    "sign_context",
]

CONTEXT_HEADER = "Cyclamenvane-Context"
_HASH_BYTES = 12
_MAX_TOKEN_CHARS = 1024


@dataclass(frozen=True, slots=True)
class CallContext:
    """What a call knows of the root request it is made for.

    `root` names the root request, `caller` the checked name of who sent it,
    `depth` counts the hops from the root (0 at the entry), `allowance` is the
    number of extra attempts that the call and everything below it may make,
    and `dispatch` names the dispatch to a target that the token was made for
    (empty at the entry).
    """

    root: str
    caller: str
    importance: Importance
    depth: int
    allowance: int
    dispatch: str = ""


def sign_context(context: CallContext, key: bytes) -> str:
    """Return the token of a context, signed with the nodes' shared key."""
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
    return base64.urlsafe_b64encode(fields + _hash(fields, key)).decode()


def open_token(token: str, key: bytes) -> CallContext | None:
    """Return the context in a token, or None when it was not signed by `key`."""
    if not token or len(token) > _MAX_TOKEN_CHARS:
        return None
    try:
        raw = base64.urlsafe_b64decode(token)
    except (binascii.Error, ValueError):
        return None
    fields, mark = raw[:-_HASH_BYTES], raw[-_HASH_BYTES:]
    if not hmac.compare_digest(mark, _hash(fields, key)):
        return None
    return _unpack(fields)


def read_context(token: str) -> CallContext | None:
    """Return the context in a token without checking who signed it.

    An embedded caller, which does not hold the nodes' key, reads its own token
    so; the nodes it calls check it.
    """
    try:
        return _unpack(base64.urlsafe_b64decode(token)[:-_HASH_BYTES])
    except (binascii.Error, ValueError, TypeError, msgpack.UnpackException):
        return None


def _unpack(fields: bytes) -> CallContext:
    root, caller, importance, depth, allowance, dispatch = msgpack.unpackb(fields)
    return CallContext(root, caller, Importance(importance), depth, allowance, dispatch)


def _hash(fields: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(fields, key=key[:64], digest_size=_HASH_BYTES).digest()
