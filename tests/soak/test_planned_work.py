"""Soak test of planned work: daemons that stop and start, reloads, configurations.

python -m pytest tests/soak/test_planned_work.py --seeds 50
"""

from __future__ import annotations

import threading
import time
import zlib
from itertools import chain

from soak_callers import start_callers
from soak_checks import check_answers, check_lost
from soak_failures import FailureRunner, make_planned_work
from soak_pipelines import start_pipelines
from soak_site import NODES, SoakSite

_SETTLE_S = 1.0  # for requests that are still on their way
_CALLER_END_S = 10.0
_SLOW_S = 0.6  # much less than a node's grace period


def answer_slowly(node):
    """Make the target of a node take longer for some of the requests."""
    answer = node.target.script

    def respond(sock, request):
        response = answer(sock, request)
        if zlib.crc32(request.target) % 4 == 0:
            time.sleep(_SLOW_S)
        return response

    node.target.script = respond


def test_planned_work_loses_no_request(seed, tmp_path):
    """Guards against requests that a planned stop leaves without an answer."""
    site = SoakSite(tmp_path, strict=False)
    for node in site.nodes:
        answer_slowly(node)
    runner = FailureRunner(site)
    stopped = threading.Event()
    problems = []
    try:
        site.start()
        threads = start_callers(site, stopped, seed)
        threads += start_pipelines(site, stopped, seed)
        runner.run(make_planned_work(seed, NODES))
        stopped.set()
        for thread in threads:
            thread.join(_CALLER_END_S)
            assert not thread.is_alive(), "a caller has not ended"
        time.sleep(_SETTLE_S)
    finally:
        stopped.set()
        problems += runner.problems + site.close()
    for check in (check_answers, check_lost):
        problems += check(site.seen)
    records = chain.from_iterable(vars(site.seen).values())
    lines = [*runner.log, *problems, *map(str, records)]
    (tmp_path / "soak.log").write_text("\n".join(lines) + "\n")
    shown = "\n".join(problems[:20])
    assert not problems, f"seed {seed}, {len(problems)} problems, {tmp_path}:\n{shown}"
