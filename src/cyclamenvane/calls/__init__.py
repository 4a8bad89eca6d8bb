"""The parts of a call: request, response, body, context and allowance."""

from __future__ import annotations

from .body import (
    CHUNK_BYTES,
    PIPE_BYTES,
    Body,
    ChunkedBody,
    IncompleteBody,
    Pipe,
    read_all,
)
from .context import (
    CONTEXT_HEADER,
    CallContext,
    decode_unverified,
    sign_context,
    verify_token,
)
from .importance import (
    MAX_TIERS,
    ONLY_TIER,
    RANKS,
    RANKS_PER_IMPORTANCE,
    Importance,
    Tier,
    rank_call,
)
from .message import (
    Headers,
    Outcome,
    Refusal,
    Report,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
)
from .scope import CallScope

__all__ = [
    "CHUNK_BYTES",
    "CONTEXT_HEADER",
    "MAX_TIERS",
    "ONLY_TIER",
    "PIPE_BYTES",
    "RANKS",
    "RANKS_PER_IMPORTANCE",
    "Body",
    "CallContext",
    "CallScope",
    "ChunkedBody",
    "Headers",
    "Importance",
    "IncompleteBody",
    "Outcome",
    "Pipe",
    "Refusal",
    "Report",
    "Request",
    "Response",
    "Tier",
    "decode_unverified",
    "make_refusal",
    "make_unknown_response",
    "rank_call",
    "read_all",
    "sign_context",
    "verify_token",
]
