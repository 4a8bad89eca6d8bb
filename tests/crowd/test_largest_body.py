"""A single body of the largest legal size, with the memory of a small deployment."""

from __future__ import annotations

import pytest
from crowd_site import CrowdSite

_MAX_BODY_BYTES = 64 * 1024 * 1024
_MEMORY_MB = 200


@pytest.mark.parametrize("entry", [0, 1], ids=["other node", "node of the target"])
def test_largest_body_is_served_in_calm(tmp_path, entry):
    """Guards against limits that a client inside the pages' limits meets."""
    site = CrowdSite(tmp_path, 4100, _MEMORY_MB, _MAX_BODY_BYTES)
    try:
        site.start()
        served = site.nodes[entry].is_served("/orders/1", b"b" * _MAX_BODY_BYTES)
        problems = site.list_problems()
    finally:
        site.close()
    assert served and not problems, problems
