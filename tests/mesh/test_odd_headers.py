"""Odd values in the headers of targets."""

from __future__ import annotations

import pytest
from mesh_harness import POST, route
from target_standin import make_response

ODD_HEADERS = (
    *(b"Keep-Alive: timeout=%s" % n for n in (b"18446744073709551615", b"9" * 5000)),
    *(
        b"Keep-Alive: timeout=%s" % n
        for n in (b"-1", b"", b"0", b"1e9", b"\xb2", b"5 5")
    ),
    *(b"Server-Limit: %s" % n for n in (b"1e308", b"1e-320", b"nan", b"inf", b"-1")),
    *(b"Server-Limit: %s" % n for n in (b"9" * 5000, b"", b"\xb2", b"0x1")),
    b"Server-Leaving: \xff",
    b"X-Instance-Id: \xff",
    b"Retry-After: 9" + b"9" * 5000,
)


@pytest.mark.parametrize("line", ODD_HEADERS)
def test_odd_headers_of_a_target_end_no_node(watched, line):
    """Guards against a header whose value fails outside of the exchange's errors."""
    mesh, list_broken = watched
    entry, remote = mesh.add("desk"), mesh.add()
    mesh.configure(route(), route("post", "/orders/", **POST))
    mesh.wait_until_converged()
    remote.target.script = lambda sock, request: make_response(
        request, b"whole", header_lines=line + b"\r\n"
    )
    for number in range(12):
        path, method = (("/items/", "GET"), ("/orders/", "POST"))[number % 2]
        response = entry.call(path, method, attempt=f"h{number}", deadline_ms=2000)
        assert response.status in (200, 503)
        assert number or response.status == 200
    assert not list_broken()
