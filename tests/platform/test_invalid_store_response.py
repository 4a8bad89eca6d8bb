"""Responses of the store that are not HTTP/1."""

from __future__ import annotations

from datetime import timedelta

import pytest
from invalid_heads import make_invalid_responses

from cyclamenvane.mesh.rows import RowsFailure, RowWrite
from cyclamenvane.platform.store import RowsClient

TIMEOUT = timedelta(seconds=5)
INVALID = make_invalid_responses(b"Store-Era: 12\r\n")
# They have the status of a conflict, which says that nothing was done.
REFUSALS = {
    name: data.replace(b" 200 OK", b" 412 Precondition Failed")
    for name, data in INVALID.items()
}
ENDLESS_TRAILERS = (
    b"HTTP/1.1 412 Precondition Failed\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\n{}\r\n0\r\n" + b"X-Mark: 1\r\n" * 5000 + b"\r\n"
)


def write(address):
    """Send one write to a store; return its failure."""
    client = RowsClient(address, TIMEOUT)
    result = client.write([RowWrite("t", "", "k", b"1", 0)])
    client.close()
    return result.error.failure


@pytest.mark.parametrize("name", REFUSALS)
def test_invalid_response_leaves_the_outcome_of_a_write_unknown(cutting_server, name):
    """Guards against bytes that count as a conflict, or as nothing done."""
    cutting_server.data = REFUSALS[name]
    assert write(cutting_server.address) is RowsFailure.UNKNOWN


def test_trailers_without_end_leave_the_outcome_unknown(cutting_server):
    """Guards against a store that keeps a call by trailers."""
    cutting_server.data = ENDLESS_TRAILERS
    assert write(cutting_server.address) is RowsFailure.UNKNOWN
