"""Requests to the readiness and admin listeners that are too large."""

from __future__ import annotations

import socket


def send(member, data: bytes) -> bytes:
    with socket.create_connection(member.settings.admin_listener, 5) as sock:
        sock.sendall(data)
        return sock.recv(65536)


def test_large_requests_are_refused_and_held_nowhere(mesh):
    """Guards against bodies that are kept in memory until they are whole."""
    member = mesh.add()
    head = b"PUT /api/endpoints/i-0 HTTP/1.1\r\nHost: a\r\n"
    length = head + b"Content-Length: 100000000\r\n\r\n"
    assert b" 413 " in send(member, length)[:20]
    assert b" 431 " in send(member, head + b"X-Long: " + b"x" * 20_000)[:20]
    assert member.send_heartbeat() == 200
