"""Soak test of the real daemons: failures from outside, and what callers observe.

python -m pytest tests/soak --seeds 50
"""

from __future__ import annotations

import threading
import time
from itertools import chain

from mesh_harness import wait_until
from soak_callers import Connection, start_callers
from soak_checks import check_all
from soak_failures import FailureRunner, make_plan
from soak_pipelines import start_pipelines
from soak_site import NODES, SoakSite

_RECOVERY_S = 15.0
_SETTLE_S = 1.0  # for requests that are still on their way
_CALLER_END_S = 10.0


def test_soak(seed, tmp_path):
    """Guards against rules that hold in one process and break between real ones."""
    site = SoakSite(tmp_path, strict=bool(seed % 2))
    runner = FailureRunner(site)
    stopped = threading.Event()
    problems = []
    try:
        site.start()
        threads = start_callers(site, stopped, seed)
        threads += start_pipelines(site, stopped, seed)
        runner.run(make_plan(seed, NODES))
        problems += _check_recovery(site)
        stopped.set()
        for thread in threads:
            thread.join(_CALLER_END_S)
            assert not thread.is_alive(), "a caller has not ended"
        time.sleep(_SETTLE_S)
    finally:
        stopped.set()
        problems += runner.problems + site.close()
    problems += check_all(site.seen)
    records = chain.from_iterable(vars(site.seen).values())
    lines = [*runner.log, *problems, *map(str, records)]
    (tmp_path / "soak.log").write_text("\n".join(lines) + "\n")
    shown = "\n".join(problems[:20])
    assert not problems, f"seed {seed}, {len(problems)} problems, {tmp_path}:\n{shown}"


def _check_recovery(site: SoakSite) -> list[str]:
    """After the last failure calls succeed through each node, on each route."""
    deadline = time.monotonic() + _RECOVERY_S
    problems = []
    for node in range(NODES):
        connection = Connection(site, node)
        for path in ("/items/", "/orders/", "/public/"):
            try:
                wait_until(
                    lambda: connection.call("probe", "probe-key-0", path, False) == 200,
                    max(0.1, deadline - time.monotonic()),
                )
            except AssertionError:
                problems.append(f"no success on {path} at node {node} in time")
        connection.close()
    return problems
