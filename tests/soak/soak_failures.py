"""Plans of failures for the soak test, one for each seed, and their execution."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from soak_site import PROCESS_KINDS, SoakSite

_FAILURE_S = 24.0  # time in which failures begin
_FIRST_S = 3.0  # calls without failures before it
_MEAN_GAP_S = 1.0  # between the starts of two series
_NODE_KINDS = (*PROCESS_KINDS, "reload", "store_link", "target_link", "target_crash")
_STORE_KINDS = ("store_silence", "store_rejection", "store_restore")
_COMMON_KINDS = _STORE_KINDS + ("remove_key", "write_configuration")
_STORE_MODES = ("delay", "reset", "cut_up", "cut_down", "silence")
_MODES = {"store_link": _STORE_MODES, "target_link": _STORE_MODES + ("truncate",)}
_MODES["stop"] = ("", "repeated")
_DURATIONS_S = (0.1, 0.4, 1.2, 3.0, 4.5)
_END_S = 40.0  # in which a failure ends, with those that it waits for
# A failure waits for another one at the same place.
_PLACES = dict.fromkeys(PROCESS_KINDS, "process") | {"target_crash": "target"}
_PLACES |= {"reload": "process"}
_PLACES |= dict.fromkeys(_STORE_KINDS, "store")
_DISTURBING = {*PROCESS_KINDS, "store_link", *_STORE_KINDS}


@dataclass(frozen=True)
class Failure:
    """A failure, or a change of the configuration, `at` seconds after the start.

    `node` is -1 if it concerns all nodes. `mode` is how a link fails.
    """

    at: float
    kind: str
    node: int
    duration: float
    mode: str


def make_plan(seed: int, nodes: int) -> tuple[Failure, ...]:
    """Return the failures of a seed, in the order in which they start.

    They come in series of one kind, and overlap.
    """
    chance = random.Random(seed)
    plan = [
        Failure(chance.uniform(4, 12), "lower_rate", -1, 0.0, ""),
        Failure(chance.uniform(4, 18), "remove_key", -1, 0.0, ""),
    ]
    at = _FIRST_S
    while at < _FAILURE_S:
        kind = chance.choice(_NODE_KINDS * 3 + _COMMON_KINDS)
        mode = chance.choice(_MODES.get(kind, ("",)))
        first, step = chance.randrange(nodes), chance.choice((1, 2, 3))
        spacing = chance.uniform(0.1, 0.8)
        for number in range(chance.choice((1, 1, 2, 3)) if kind in _NODE_KINDS else 1):
            node = (first + number * step) % nodes if kind in _NODE_KINDS else -1
            duration = chance.choice(_DURATIONS_S) * chance.uniform(0.7, 1.3)
            plan.append(Failure(at + number * spacing, kind, node, duration, mode))
        at += chance.expovariate(1 / _MEAN_GAP_S)
    return tuple(sorted(plan, key=lambda each: each.at))


def make_planned_work(seed: int, nodes: int) -> tuple[Failure, ...]:
    """Return stops, reloads and changes of the configuration, which overlap.

    A node is stopped only while the others of its service run.
    """
    chance = random.Random(seed)
    plan = []
    at = _FIRST_S
    while at < _FAILURE_S:
        node = chance.randrange(nodes)
        mode = chance.choice(_MODES["stop"])
        plan.append(Failure(at, "stop", node, chance.uniform(0.1, 0.5), mode))
        for _ in range(chance.randint(1, 3)):
            kind = chance.choice(("reload", "write_configuration"))
            other = chance.randrange(nodes) if kind == "reload" else -1
            plan.append(Failure(at + chance.uniform(0, 4), kind, other, 0.2, ""))
        at += chance.uniform(1.0, 4.0)
    return tuple(sorted(plan, key=lambda each: each.at))


class FailureRunner:
    """Carries out failures at a site, and logs them."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self._locks: defaultdict[tuple, threading.Lock] = defaultdict(threading.Lock)
        self.log: list[str] = []
        self.problems: list[str] = []

    def run(self, plan: tuple[Failure, ...]) -> None:
        """Carry out a plan; return when all of its failures have ended."""
        started = time.monotonic()
        threads = []
        for failure in plan:
            time.sleep(max(0.0, started + failure.at - time.monotonic()))
            thread = threading.Thread(target=self._run, args=(failure,), daemon=True)
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(_END_S)
            if thread.is_alive():
                self.problems.append("a failure has not ended")

    def _run(self, failure: Failure) -> None:
        kind = failure.kind
        with self._locks[_PLACES.get(kind, failure), failure.node]:
            start = time.monotonic()
            self.log.append(f"{start:.2f} start of {failure}")
            try:
                with _carry_out(self._site, failure):
                    time.sleep(failure.duration)
            except Exception as error:
                self.problems.append(f"{failure}: {error!r}")
                raise
            end = time.monotonic()
            if kind in _DISTURBING:
                self._site.disturb(failure.node, start, end, kind)
            self.log.append(f"{end:.2f} end of {failure}")


@contextmanager
def _carry_out(site: SoakSite, failure: Failure) -> Iterator[None]:
    """Begin a failure, and end it after the block."""
    node, store = site.nodes[failure.node], site.mesh.store
    match failure.kind:
        case "pause":
            node.daemon.send(signal.SIGSTOP)
            yield
            node.daemon.send(signal.SIGCONT)
        case "kill":
            node.daemon.kill()
            yield
            node.start()
        case "stop":
            if failure.mode == "repeated":
                node.daemon.send(signal.SIGTERM)
                node.daemon.send(signal.SIGHUP)
            node.daemon.stop()
            yield
            node.start()
        case "reload":
            node.daemon.send(signal.SIGHUP)
            yield
            node.daemon.send(signal.SIGHUP)
        case "store_link" | "target_link":
            link = getattr(node, failure.kind)
            link.begin(failure.mode)
            yield
            link.end(failure.mode)
        case "target_crash":
            node.crash_target()
            yield
            node.start_target()
        case "store_silence":
            store.start_silence()
            yield
            store.end_silence()
        case "store_rejection":
            store.status = 503
            yield
            store.status = 0
        case "store_restore":
            store.restore(site.copy)
            yield
            site.write_configuration()  # by the operator
        case change:
            getattr(site, change)()
            yield
