"""Heads of responses that RFC 9110 and RFC 9112 do not allow, by what is wrong."""

from __future__ import annotations

LENGTH = b"Content-Length: 5\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"5\r\nwhole\r\n0\r\n\r\n"


def make_invalid_responses(fields: bytes) -> dict[str, bytes]:
    """Return invalid responses with some fields, each with its line end."""
    ok = b"HTTP/1.1 200 OK\r\n" + fields

    def make_status(line: bytes) -> bytes:
        return line + b"\r\n" + fields + LENGTH + b"\r\nwhole"

    def make_field(line: bytes) -> bytes:
        return ok + line + b"\r\n" + LENGTH + b"\r\nwhole"

    return {
        "status 000": make_status(b"HTTP/1.1 000 OK"),
        "status 099": make_status(b"HTTP/1.1 099 OK"),
        "status 600": make_status(b"HTTP/1.1 600 OK"),
        "status 999": make_status(b"HTTP/1.1 999 OK"),
        "status of two digits": make_status(b"HTTP/1.1 20 OK"),
        "status of four digits": make_status(b"HTTP/1.1 2000 OK"),
        "switched protocol": make_status(b"HTTP/1.1 101 Switching Protocols"),
        "version 2.0": make_status(b"HTTP/2.0 200 OK"),
        "version 0.9": make_status(b"HTTP/0.9 200 OK"),
        "other protocol": make_status(b"RTSP/1.0 200 OK"),
        "control byte in the reason": make_status(b"HTTP/1.1 200 O\x01K"),
        "blank in a name": make_field(b"X Mark: 1"),
        "blank before the colon": make_field(b"X-Mark : 1"),
        "tab in a name": make_field(b"X\tMark: 1"),
        "control byte in a name": make_field(b"X\x01Mark: 1"),
        "null byte in a name": make_field(b"X\x00Mark: 1"),
        "byte above ASCII in a name": make_field(b"X\xe9Mark: 1"),
        "no name": make_field(b": 1"),
        "no colon": make_field(b"X-Mark"),
        "folded line": make_field(b"X-Mark: 1\r\n 2"),
        "folded first line": b"HTTP/1.1 200 OK\r\n X-Mark: 1\r\n"
        + fields
        + LENGTH
        + b"\r\nwhole",
        "control byte in a value": make_field(b"X-Mark: 1\x01"),
        "null byte in a value": make_field(b"X-Mark: 1\x00"),
        "bare return in a value": make_field(b"X-Mark: 1\r2"),
        "line feed alone": ok + b"X-Mark: 1\n" + LENGTH + b"\r\nwhole",
        "blank in the name of the length": ok + b"Content-Length : 5\r\n\r\nwhole",
        "signed length": ok + b"Content-Length: +5\r\n\r\nwhole",
        "list of lengths": ok + b"Content-Length: 5, 5\r\n\r\nwhole",
        "two lengths": ok + LENGTH + LENGTH + b"\r\nwhole",
        "empty length": ok + b"Content-Length: \r\n\r\nwhole",
        "length and chunks": ok + LENGTH + CHUNKED + b"\r\n" + CHUNKS,
        "chunks of HTTP/1.0": b"HTTP/1.0 200 OK\r\n"
        + fields
        + CHUNKED
        + b"\r\n"
        + CHUNKS,
        "two encodings": ok + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKS,
        "prefixed chunk size": ok + CHUNKED + b"\r\n0x" + CHUNKS,
        "underscore in a chunk size": ok + CHUNKED + b"\r\n0_" + CHUNKS,
        "signed chunk size": ok + CHUNKED + b"\r\n+" + CHUNKS,
        "line feed after a chunk size": ok + CHUNKED + b"\r\n5\nwhole\r\n0\r\n\r\n",
        "bytes after a chunk": ok + CHUNKED + b"\r\n5\r\nwholeXX0\r\n\r\n",
        "blank in the name of a trailer": ok
        + CHUNKED
        + b"\r\n5\r\nwhole\r\n0\r\nX Mark: 1\r\n\r\n",
    }
