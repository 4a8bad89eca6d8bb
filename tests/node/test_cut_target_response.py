"""Responses of targets of the first daemon that end in the middle."""

from __future__ import annotations

import pytest
from cut_messages import ENDS, INTERIM, list_whole, make_framings
from target_calls import call

from cyclamenvane.calls import Outcome

HEAD = b"HTTP/1.1 200 OK\r\nX-Mark: 1\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\nX-Mark: 1\r\n\r\n"
FRAMINGS = make_framings(HEAD, b"whole")


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_target_response_cut_at_any_byte_is_not_done(cutting_server, framing, end):
    """Guards against a success with an empty or short body, framed as whole."""
    cutting_server.end = end

    def is_whole() -> bool:
        return call(cutting_server.address).outcome is Outcome.DONE

    assert not list_whole(cutting_server, FRAMINGS[framing], is_whole)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize(
    ("method", "message"),
    [("GET", NO_CONTENT), ("HEAD", HEAD + b"Content-Length: 5\r\n\r\n")],
)
def test_head_without_a_body_cut_at_any_byte_is_not_done(
    cutting_server, method, message, end
):
    """Guards against an empty success that lacks headers of its target."""
    cutting_server.end = end

    def is_whole() -> bool:
        return call(cutting_server.address, method).outcome is Outcome.DONE

    assert not list_whole(cutting_server, message, is_whole)


def test_interim_response_is_followed_by_the_final_one(cutting_server):
    """Guards against an interim response that is taken for an empty success."""
    cutting_server.data = FRAMINGS["interim"]
    response = call(cutting_server.address)
    assert response.status == 200 and response.body == b"whole"


def test_interim_responses_without_end_are_no_response(cutting_server):
    """Guards against a call that reads heads until its deadline."""
    cutting_server.data = INTERIM * 1000
    assert call(cutting_server.address).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    "lengths", ["Content-Length: 3\r\nContent-Length: 10", "Content-Length: 0_3"]
)
def test_length_that_has_two_meanings_is_no_length(cutting_server, lengths):
    """Guards against a short body that looks whole by one of its lengths."""
    cutting_server.data = HEAD + lengths.encode() + b"\r\n\r\nwhole"
    assert call(cutting_server.address).outcome is Outcome.UNKNOWN
