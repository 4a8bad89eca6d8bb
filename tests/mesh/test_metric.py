"""The reference page lists exactly the metrics that a node serves."""

from __future__ import annotations

import re
import urllib.request
from pathlib import Path

from mesh_harness import route

REFERENCE = Path(__file__).parents[2] / "docs" / "reference" / "metrics.md"


def test_the_reference_lists_the_served_metrics(mesh):
    member = mesh.add()
    mesh.configure(route())
    mesh.wait_until_converged()
    assert member.call().status == 200
    assert member.call("/none/").status == 404
    url = f"http://{member.host}:{mesh.metrics_port}/metrics"
    text = urllib.request.urlopen(url).read().decode()
    served = set(re.findall(r"^# TYPE (\w+) ", text, re.MULTILINE))
    served = {name.removesuffix("_total").removesuffix("_created") for name in served}
    page = REFERENCE.read_text()
    assert served == set(re.findall(r"`(cyclamenvane_\w+)` \|", page))
    states = set(re.findall(r'cyclamenvane_state{name="(\w+)"}', text))
    for state in states:
        documented = state in page or state.removesuffix("_turned_away") in page
        assert documented, f"{state} is not in the reference"
    assert 'status="200"' in text and 'status="404"' in text
