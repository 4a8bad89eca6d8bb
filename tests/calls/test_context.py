"""Tests of signed context tokens."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.calls import CallContext, Importance, sign_context, verify_token

KEY = b"a key of the nodes"
CONTEXT = CallContext("root-1", "foreman", Importance.LOW, 3, 2, "s-1")


def test_signed_token_decodes_to_its_context() -> None:
    assert verify_token(sign_context(CONTEXT, KEY), KEY) == CONTEXT


@given(st.text(max_size=200) | st.binary(max_size=100).map(lambda b: b.hex()))
def test_unsigned_token_is_rejected(token: str) -> None:
    assert verify_token(token, KEY) is None


@given(st.integers(0, 200), st.integers(1, 255))
def test_edited_token_is_rejected(position: int, offset: int) -> None:
    token = bytearray(sign_context(CONTEXT, KEY).encode())
    position %= len(token)
    token[position] = (token[position] + offset) % 128
    verified = verify_token(token.decode("ascii"), KEY)
    assert verified in (None, CONTEXT)
