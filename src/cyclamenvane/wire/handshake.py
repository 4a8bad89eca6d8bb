"""Mutual authentication of the two sides of a stream by a shared key.

Each side sends a nonce and a keyed BLAKE2 hash over both nonces, its side and
the client's role and name. Nodes use the key that all nodes share; an embedded
caller uses the credential issued for its name. Until the peer's proof is
verified, a side reads at most a few kilobytes and answers nothing else.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from .codec import MAX_HANDSHAKE_FRAME_BYTES, FrameReader, MalformedFrame, encode_frame
from .frame import ChallengeFrame, Frame, HelloFrame, ProofFrame, WelcomeFrame

__all__ = [
    "ROLE_CALLER",
    "ROLE_NODE",
    "HandshakeError",
    "Peer",
    "accept_handshake",
    "derive_credential",
    "open_handshake",
]

ROLE_NODE = "node"
ROLE_CALLER = "caller"
_NONCE_BYTES = 16
_PROOF_BYTES = 24
_RECEIVE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class HandshakeError:
    """The reason why a handshake failed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Peer:
    """An authenticated peer.

    `session` identifies the session of the accepting node, a process from start to
    exit.
    """

    role: str
    name: str
    session: str


def derive_credential(caller_key: bytes, name: str) -> bytes:
    """Return the credential of the caller `name` as ASCII hex."""
    hasher = hashlib.blake2b(name.encode(), key=caller_key[:64], digest_size=16)
    return hasher.hexdigest().encode()


def open_handshake(
    sock: socket.socket, role: str, name: str, key: bytes
) -> Result[Peer, HandshakeError]:
    """Run the client side of the handshake: prove `key` and verify the server."""
    nonce = secrets.token_bytes(_NONCE_BYTES)
    exchange = _FrameExchange(sock)
    exchange.send(HelloFrame(role, name, nonce))
    challenge = exchange.receive(ChallengeFrame)
    if challenge is None:
        return Error(HandshakeError(exchange.problem))
    expected = _compute_proof(key, b"accept", role, name, nonce, challenge.nonce)
    if not hmac.compare_digest(expected, challenge.proof):
        return Error(HandshakeError("the server's proof does not match the key"))
    exchange.send(
        ProofFrame(_compute_proof(key, b"open", role, name, nonce, challenge.nonce))
    )
    welcome = exchange.receive(WelcomeFrame)
    if welcome is None:
        return Error(HandshakeError(exchange.problem))
    return Ok(Peer(role, name, welcome.session))


def accept_handshake(
    sock: socket.socket,
    session: str,
    find_key: Callable[[str, str], bytes | None],
) -> Result[Peer, HandshakeError]:
    """Run the server side of the handshake: verify the client's proof.

    `find_key` returns the key for a role and name, or None if the role is unknown.
    """
    exchange = _FrameExchange(sock)
    hello = exchange.receive(HelloFrame)
    if hello is None:
        return Error(HandshakeError(exchange.problem))
    key = find_key(hello.role, hello.name)
    if key is None:
        return Error(HandshakeError(f"unknown role {hello.role!r}"))
    nonce = secrets.token_bytes(_NONCE_BYTES)
    transcript = (hello.role, hello.name, hello.nonce, nonce)
    exchange.send(ChallengeFrame(nonce, _compute_proof(key, b"accept", *transcript)))
    proof = exchange.receive(ProofFrame)
    if proof is None:
        return Error(HandshakeError(exchange.problem))
    if not hmac.compare_digest(proof.proof, _compute_proof(key, b"open", *transcript)):
        return Error(HandshakeError(f"invalid proof from {hello.role} {hello.name!r}"))
    exchange.send(WelcomeFrame(session))
    return Ok(Peer(hello.role, hello.name, session))


def _compute_proof(
    key: bytes,
    side: bytes,
    role: str,
    name: str,
    opening_nonce: bytes,
    accepting_nonce: bytes,
) -> bytes:
    hasher = hashlib.blake2b(key=key[:64], digest_size=_PROOF_BYTES)
    for part in (side, role.encode(), name.encode(), opening_nonce, accepting_nonce):
        hasher.update(len(part).to_bytes(4, "big"))
        hasher.update(part)
    return hasher.digest()


class _FrameExchange:
    def __init__(self, sock: socket.socket) -> None:
        self.problem = ""
        self._sock = sock
        self._reader = FrameReader(MAX_HANDSHAKE_FRAME_BYTES)

    def send(self, frame: Frame) -> None:
        try:
            self._sock.sendall(encode_frame(frame))
        except OSError as error:
            self.problem = str(error)

    def receive(self, kind: type) -> Frame | None:
        # Each side waits for the peer's frame before it sends the next one, so
        # a read never returns more than one frame.
        try:
            while True:
                data = self._sock.recv(_RECEIVE_BYTES)
                if not data:
                    self.problem = self.problem or "the stream was closed"
                    return None
                for frame in self._reader.feed(data):
                    return self._expect(frame, kind)
        except (OSError, MalformedFrame) as error:
            self.problem = self.problem or str(error)
            return None

    def _expect(self, frame: Frame, kind: type) -> Frame | None:
        if isinstance(frame, kind):
            return frame
        self.problem = f"expected {kind.__name__}, got {type(frame).__name__}"
        return None
