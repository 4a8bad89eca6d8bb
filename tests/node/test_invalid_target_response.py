"""Responses of targets of the first daemon that are not HTTP/1."""

from __future__ import annotations

import pytest
from invalid_heads import make_invalid_responses
from target_calls import call

from cyclamenvane.calls import Outcome

INVALID = make_invalid_responses(b"X-Mark: 1\r\n")


@pytest.mark.parametrize("name", INVALID)
def test_invalid_response_is_not_done(cutting_server, name):
    """Guards against bytes that are passed on as an answer."""
    cutting_server.data = INVALID[name]
    response = call(cutting_server.address)
    assert response.outcome is not Outcome.DONE
