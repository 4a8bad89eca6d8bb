"""Crowds of clients that send or leave unread as much as a node lets them.

A crowd is opened by a function that returns its connections. Each client sends a
bounded amount, and stops early once the node closes its connection.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from crowd_site import MAX_BODY_BYTES, CrowdNode
from mesh_harness import CALLER, make_request

_PIECE_BYTES = 64 * 1024
_TRAILER_BYTES = 6_000_000  # of one client
_WAVES = 10
_WAVE_SIZES = (70_000, 200_000, 500_000, 1_200_000, 3_000_000, MAX_BODY_BYTES)
_UNREAD_BYTES = 8_000_000  # of one client
_STALLED_DEADLINE_MS = 60_000
_SEND_TIMEOUT_S = 2.0
_NOT_READ_BUFFER_BYTES = 4096
_ACCEPT_PAUSE_S = 0.002

Crowd = Callable[[CrowdNode], list[socket.socket]]


def _open(node: CrowdNode, receive_buffer: int = 0) -> socket.socket | None:
    sock = socket.socket()
    try:
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(_SEND_TIMEOUT_S)
        sock.bind(CALLER)
        sock.connect(node.address)
    except OSError:
        sock.close()
        return None
    return sock


def _send(sock: socket.socket, pieces: Iterable[bytes]) -> None:
    with suppress(OSError):  # the node has closed the connection, or reads no more
        for piece in pieces:
            sock.sendall(piece)


def _gather(
    node: CrowdNode,
    clients: int,
    make_pieces: Callable[[int], Iterable[bytes]],
    tasks: int = 32,
) -> list[socket.socket]:
    """Open connections and send on all of them, on so many at the same time."""

    def run(number: int) -> socket.socket | None:
        sock = _open(node)
        if sock is not None:
            _send(sock, make_pieces(number))
        return sock

    with ThreadPoolExecutor(tasks) as executor:
        opened = list(executor.map(run, range(clients)))
    return [each for each in opened if each is not None]


def _make_head(number: int, *lines: str) -> bytes:
    head = make_request(
        "/orders/1", "POST", attempt=f"crowd-{number}", deadline_ms=_STALLED_DEADLINE_MS
    )
    return head[:-2] + "".join(f"{each}\r\n" for each in lines).encode() + b"\r\n"


def _cut(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), _PIECE_BYTES):
        yield data[start : start + _PIECE_BYTES]


def send_endless_trailer(node: CrowdNode) -> list[socket.socket]:
    """Send a body of one chunk, and a trailer whose value has no end."""

    def make_pieces(number: int) -> Iterator[bytes]:
        yield _make_head(number, "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\nX-A: "
        for _ in range(0, _TRAILER_BYTES, _PIECE_BYTES):
            yield b"t" * _PIECE_BYTES

    return _gather(node, 64, make_pieces)


def send_many_trailers(node: CrowdNode) -> list[socket.socket]:
    """Send a body of one chunk, and small trailers without end."""

    def make_pieces(number: int) -> Iterator[bytes]:
        yield _make_head(number, "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
        for _ in range(0, _TRAILER_BYTES // 8, _PIECE_BYTES):
            yield b"a:b\r\n" * (_PIECE_BYTES // 5)

    return _gather(node, 64, make_pieces)


def send_waves_of_bodies(node: CrowdNode) -> list[socket.socket]:
    """Send bodies by length in waves, all one byte short of their end."""

    def make_pieces(number: int, size: int) -> Iterator[bytes]:
        yield _make_head(number, f"Content-Length: {size}")
        yield from _cut(b"w" * (size - 1))

    return _send_waves(node, make_pieces)


def send_waves_of_chunks(node: CrowdNode) -> list[socket.socket]:
    """Send chunked bodies in waves, all one byte short of the end of their last chunk.

    Some have large chunks, and some have chunks of a few bytes.
    """

    def make_pieces(number: int, size: int) -> Iterator[bytes]:
        yield _make_head(number, "Transfer-Encoding: chunked")
        small = b"7\r\nchunked\r\n" * (min(size, 1_000_000) // 7)
        large = b"%x\r\n" % size + b"w" * (size - 1)
        yield from _cut(small if number % 2 else large)

    return _send_waves(node, make_pieces)


def _send_waves(
    node: CrowdNode, make_pieces: Callable[[int, int], Iterable[bytes]]
) -> list[socket.socket]:
    """Send a wave of bodies of many sizes; it stays until the next one is sent."""
    opened: list[socket.socket] = []
    for wave in range(_WAVES):
        previous = opened

        def make_wave(number: int, wave: int = wave) -> Iterable[bytes]:
            return make_pieces(number, _WAVE_SIZES[(number + wave) % len(_WAVE_SIZES)])

        opened = _gather(node, 260, make_wave, tasks=130)
        for sock in previous:
            sock.close()
    return opened


def send_heads(node: CrowdNode) -> list[socket.socket]:
    """Send heads with as many fields as their limit allows, without their end."""
    fields = b"aaaa:bbb\r\n" * 1450

    def make_pieces(number: int) -> Iterator[bytes]:
        yield _make_head(number)[:-2] + fields

    return _gather(node, 680, make_pieces, tasks=64)


def send_requests_ahead(node: CrowdNode) -> list[socket.socket]:
    """Send thousands of requests behind one that is not answered soon."""
    slow = make_request("/slow/1", attempt="crowd", deadline_ms=_STALLED_DEADLINE_MS)
    short = b"GET /slow/2 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
    requests = short * (_PIECE_BYTES // len(short))

    def make_pieces(_: int) -> Iterator[bytes]:
        yield slow
        time.sleep(0.1)  # the first request is read alone
        for _ in range(_UNREAD_BYTES // len(requests)):
            yield requests

    return _gather(node, 40, make_pieces, tasks=40)


def send_bodies_ahead(node: CrowdNode) -> list[socket.socket]:
    """Send requests with bodies behind one that is not answered soon."""
    slow = make_request("/slow/1", attempt="crowd", deadline_ms=_STALLED_DEADLINE_MS)
    upload = make_request("/orders/1", "POST", b"u" * 50_000)

    def make_pieces(_: int) -> Iterator[bytes]:
        yield slow
        time.sleep(0.1)  # the first request is read alone
        for _ in range(_UNREAD_BYTES // len(upload)):
            yield upload

    return _gather(node, 110, make_pieces, tasks=110)


def leave_responses_unread(node: CrowdNode) -> list[socket.socket]:
    """Ask for large responses and do not read them."""
    opened = []
    for number in range(100):
        sock = _open(node, _NOT_READ_BUFFER_BYTES)
        if sock is not None:
            _send(sock, [make_request("/large/1", attempt=f"crowd-{number}")])
            opened.append(sock)
    time.sleep(4.0)
    return opened


def open_connections(node: CrowdNode) -> list[socket.socket]:
    """Open more connections than the node may have descriptors, and send nothing."""
    return _open_many(node, 500, b"")


def send_part_of_heads(node: CrowdNode) -> list[socket.socket]:
    """Open more connections than the node has tasks, each with a part of a body."""
    return _open_many(node, 650, _make_head(0, "Content-Length: 1000") + b"part")


def open_pipelines(node: CrowdNode) -> list[socket.socket]:
    """Open connections with several requests in progress on each."""
    slow = make_request("/slow/1", attempt="crowd", deadline_ms=_STALLED_DEADLINE_MS)
    return _open_many(node, 300, slow * 3)


def _open_many(node: CrowdNode, clients: int, data: bytes) -> list[socket.socket]:
    opened = []
    for _ in range(clients):
        sock = _open(node)
        if sock is not None:
            _send(sock, [data])
            opened.append(sock)
        time.sleep(_ACCEPT_PAUSE_S)
    return opened
