"""Responses of the store that end in the middle."""

from __future__ import annotations

from datetime import timedelta

import pytest
from cut_messages import ENDS, list_whole, make_framings

from cyclamenvane.mesh.rows import RowsFailure, RowWrite, StoreVersion
from cyclamenvane.platform.store import RowsClient

TIMEOUT = timedelta(seconds=5)
DOCUMENT = b'{"rows":[],"rowVersion":7}'
STATUSES = (
    b"200 OK",
    b"410 Gone",
    b"412 Precondition Failed",
    b"503 Service Unavailable",
)


def make_head(status: bytes) -> bytes:
    return b"HTTP/1.1 %s\r\nStore-Era: 12\r\n" % status


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", make_framings(b"", b""))
@pytest.mark.parametrize("status", STATUSES)
def test_store_response_cut_at_any_byte_leaves_the_outcome_unknown(
    cutting_server, status, framing, end
):
    """Guards against a cut head that counts as a conflict, or as nothing done."""
    cutting_server.end = end
    message = make_framings(make_head(status), DOCUMENT)[framing]

    def is_whole() -> bool:
        client = RowsClient(cutting_server.address, TIMEOUT)
        written = client.write([RowWrite("t", "", "k", b"1", 0)])
        client.close()
        return written.is_ok() or written.error.failure is not RowsFailure.UNKNOWN

    assert not list_whole(cutting_server, message, is_whole)


def test_watch_goes_on_in_its_epoch_after_a_cut_head(cutting_server):
    """Guards against rows that are read anew, as if the store had been restored."""
    client = RowsClient(cutting_server.address, TIMEOUT)
    head = make_head(b"410 Gone")
    failures = set()
    for size in range(len(head)):
        cutting_server.data = head[:size]
        watched = client.watch("t", StoreVersion(12, 7), timedelta())
        failures.add(watched.error.failure)
    client.close()
    assert failures == {RowsFailure.UNKNOWN}
