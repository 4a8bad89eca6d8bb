"""Which requests count as the same content."""

from __future__ import annotations

import pytest

from cyclamenvane.mesh.content import LINE_BYTES, digest_content, digest_line

HEAD = b"GET /items/1?x=2 HTTP/1.1\r\nx-attempt-id: a1\r\nhost: shop.example\r\n"


def test_attempt_and_other_headers_do_not_matter():
    other = b"GET /items/1?x=2 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a2\r\n"
    assert digest_content(HEAD, b"") == digest_content(other + b"cookie: c\r\n", b"")


@pytest.mark.parametrize(
    "change",
    [
        (b"GET", b"PUT"),
        (b"items/1", b"items/2"),
        (b"x=2", b"x=3"),
        (b"shop.", b"home."),
    ],
)
def test_method_path_and_host_matter(change):
    assert digest_line(HEAD) != digest_line(HEAD.replace(*change))


def test_body_matters_and_the_line_comes_first():
    first, second = digest_content(HEAD, b"1"), digest_content(HEAD, b"2")
    assert first != second
    assert first[:LINE_BYTES] == second[:LINE_BYTES] == digest_line(HEAD)


def test_head_without_a_host_has_a_digest():
    head = b"GET /items/1 HTTP/1.1\r\ncookie: c\r\n"
    assert digest_content(head, b"") == digest_content(head, b"")
