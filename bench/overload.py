"""A load surge with a slow backend service: `python -m bench.overload --json`.

For each reference deployment, scaled down, a chain of four services serves a steady
load. During the trigger phase the deepest service is four times slower, the load is
three times its capacity, and callers resend every failed request. The same load
runs without nodes for comparison: no limits, three retries per hop, no deadlines.

Prints one JSON line for each deployment; `--plot FILE` plots goodput over time.
"""

from __future__ import annotations

import http.client
import json
import random
import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from cyclamenvane.standins.target import ROOT_HEADER

from .cluster import HOST, ProcessCluster, TargetProcess, make_credential

WARM_S, TRIGGER_S, AFTER_S = 5.0, 10.0, 12.0
SLOWDOWN_FACTOR = 4
SURGE_FACTOR = 3  # of the capacity
STEADY_FACTOR = 0.5  # of the capacity
IMPORTANT_PER_S = 8.0
DEADLINE_S = 2.0
RESENDS = 4
ZONES = 3
RESEND_PAUSE_S = 0.1
EXTRA_ATTEMPTS = 3
RECOVERED_SHARE = 0.99
RECOVERED_FOR_S = 3.0
THREADS = 700
SHALLOW_DELAY_S = 0.005
DEEPEST_DELAY_S = 0.1


@dataclass(frozen=True)
class Tier:
    """One service of the chain, with the slots and connections of each server."""

    service: str
    servers: int
    slots: int
    connections: int


@dataclass(frozen=True)
class Deployment:
    """A reference deployment at a tenth of its slots and connections."""

    name: str
    objective: str
    chain: tuple[Tier, ...]

    @property
    def capacity(self) -> float:
        """Requests per second that the deepest service can serve."""
        deepest = self.chain[-1]
        return deepest.servers * deepest.slots / DEEPEST_DELAY_S


DEPLOYMENTS = (
    Deployment(
        "wadi-rum",
        "recovery",
        (
            Tier("stock", 3, 11, 80),
            Tier("booking", 2, 14, 95),
            Tier("vault", 2, 19, 120),
            Tier("tracking", 3, 2, 20),
        ),
    ),
    Deployment(
        "agencia",
        "goodput",
        (
            Tier("catalogue", 3, 8, 57),
            Tier("voucher", 2, 10, 70),
            Tier("certification", 2, 13, 90),
            Tier("order", 3, 3, 30),
        ),
    ),
)


@dataclass
class Request:
    """One request; it is good if it succeeds within the deadline after it was due."""

    root: str
    important: bool
    due: float
    duration_s: float = 0.0
    good: bool = False
    attempts: int = 0


@dataclass
class Load:
    """Sends requests at the rate of each phase and resends those that fail."""

    send: Callable[[Request], bool]
    requests: list[Request] = field(default_factory=list)

    def run(self, capacity: float, on_phase: Callable[[str], None]) -> float:
        """Run all phases; return the seconds from the start to the trigger's end."""
        pool = ThreadPoolExecutor(THREADS)
        rng = random.Random(7)
        start = time.monotonic()
        ends = (start + WARM_S, start + WARM_S + TRIGGER_S)
        phase, due = "warm", start
        while due < ends[1] + AFTER_S:
            time.sleep(max(0.0, due - time.monotonic()))
            now = "warm" if due < ends[0] else "trigger" if due < ends[1] else "after"
            if now != phase:
                phase = now
                on_phase(phase)
            rate = capacity * (SURGE_FACTOR if phase == "trigger" else STEADY_FACTOR)
            important = rng.random() < IMPORTANT_PER_S / rate
            request = Request(uuid.uuid4().hex, important, due)
            self.requests.append(request)
            pool.submit(self._run_request, request)
            due += rng.expovariate(rate)
        pool.shutdown(wait=True)
        return ends[1] - start

    def _run_request(self, request: Request) -> None:
        for _ in range(1 + RESENDS):
            request.attempts += 1
            if self.send(request):
                request.duration_s = time.monotonic() - request.due
                request.good = request.duration_s <= DEADLINE_S
                return
            if time.monotonic() - request.due > DEADLINE_S:
                return
            time.sleep(RESEND_PAUSE_S * random.uniform(0.5, 1.5))


def make_sender(
    endpoints: list[tuple[int, str]], make_headers
) -> Callable[[Request], bool]:
    """Return a function that sends a request to a random port and path."""
    local = threading.local()

    def send(request: Request) -> bool:
        port, path = random.choice(endpoints)
        connections = local.__dict__.setdefault("connections", {})
        connection = connections.get(port)
        if connection is None:
            connection = http.client.HTTPConnection(HOST, port, timeout=DEADLINE_S)
            connections[port] = connection
        try:
            connection.request("GET", path, headers=make_headers(request))
            response = connection.getresponse()
            return response.status == 200 and response.read() == b"ok\n"
        except (OSError, http.client.HTTPException):
            connection.close()
            connections.pop(port)
            return False

    return send


def format_section(deployment: Deployment) -> str:
    """Return the policy section for a deployment."""
    lines = ["[teams.desk]", f'objective = "{deployment.objective}"']
    for tier in deployment.chain:
        table = f"teams.desk.services.{tier.service}"
        lines += [f"[{table}]", f"deadline_ms = {int(DEADLINE_S * 1000)}"]
        lines += [f"extra_attempts = {EXTRA_ATTEMPTS}", f"resends = {RESENDS}"]
        for caller, level in (("crews", "critical"), ("foremen", "low")):
            lines += [f"[[{table}.importance]]", f'callers = ["{caller}"]']
            lines += [f'level = "{level}"']
    return "\n".join(lines) + "\n"


def run_with_nodes(deployment: Deployment) -> tuple[Load, float, list[dict]]:
    """Run with nodes; return the load, the trigger's end in s and totals by root."""
    with ProcessCluster() as cluster:
        endpoints, targets = [], []
        for depth, tier in enumerate(deployment.chain):
            following = deployment.chain[depth + 1 :]
            for index in range(tier.servers):
                node = cluster.add_node(f"z{index % ZONES + 1}")
                options = [str(tier.connections)]
                delay = SHALLOW_DELAY_S if following else DEEPEST_DELAY_S
                if following:
                    destination = f"{HOST}:{node.front_port}/{following[0].service}/x"
                    options.append(f"node:{destination}")
                target = cluster.add_target(
                    node, tier.service, tier.slots, delay, *options
                )
                targets.append(target)
                if depth == 0:
                    endpoints.append((node.front_port, f"/{tier.service}/x"))
        cluster.accept("desk", format_section(deployment))
        cluster.wait_until_settled()
        deepest = targets[-deployment.chain[-1].servers :]

        def make_headers(request: Request) -> dict[str, str]:
            caller = "crews" if request.important else "foremen"
            return {
                "Authorization": f"Bearer {make_credential(caller)}",
                "Cyclamenvane-Request-Id": request.root,
            }

        load = Load(make_sender(endpoints, make_headers))
        end = load.run(deployment.capacity, lambda phase: set_delay(deepest, phase))
        return load, end, [target.send_command("roots") for target in targets]


def run_without_nodes(deployment: Deployment) -> tuple[Load, float, list[dict]]:
    """Run the same without nodes, with the naive retries of `bench.target`."""
    with ProcessCluster() as cluster:
        following: list[str] = []
        targets: list[TargetProcess] = []
        deepest: list[TargetProcess] = []
        for tier in reversed(deployment.chain):
            options = [str(tier.connections)]
            if following:
                options.append("naive:" + ",".join(following))
            delay = SHALLOW_DELAY_S if following else DEEPEST_DELAY_S
            added = [
                cluster.start_target(tier.slots, delay, *options)
                for _ in range(tier.servers)
            ]
            deepest = deepest or added
            targets += added
            following = [target.address for target in added]
        endpoints = [(int(address.split(":")[1]), "/x") for address in following]
        load = Load(make_sender(endpoints, lambda request: {ROOT_HEADER: request.root}))
        end = load.run(deployment.capacity, lambda phase: set_delay(deepest, phase))
        return load, end, [target.send_command("roots") for target in targets]


def set_delay(deepest: list[TargetProcess], phase: str) -> None:
    """Slow the deepest targets down during the trigger phase, else restore them."""
    delay = DEEPEST_DELAY_S * (SLOWDOWN_FACTOR if phase == "trigger" else 1)
    for target in deepest:
        target.send_command(f"delay {delay}")


def find_recovery(requests: list[Request], start: float, end: float) -> float | None:
    """Return the seconds from the trigger's end until requests are good, or None."""
    after = sorted((r.due - start, r.good) for r in requests if r.due - start >= end)
    step_s = 0.1
    begin = end
    while begin + RECOVERED_FOR_S <= end + AFTER_S:
        window = [good for at, good in after if begin <= at < begin + RECOVERED_FOR_S]
        if window and sum(window) >= RECOVERED_SHARE * len(window):
            return round(begin - end, 1)
        begin += step_s
    return None


def summarize(deployment: Deployment) -> tuple[dict, dict]:
    """Run a deployment with and without nodes; return the figures and the curves."""
    load, end, reports = run_with_nodes(deployment)
    naive, naive_end, naive_reports = run_without_nodes(deployment)
    important = [request for request in load.requests if request.important]
    good = {request.root for request in load.requests if request.good}
    naive_good = {request.root for request in naive.requests if request.good}
    runs = [max(report["runs"].values(), default=0) for report in reports]
    per_root: Counter = Counter()
    for report in reports[-deployment.chain[-1].servers :]:
        per_root.update(report["runs"])
    figures = {
        "deployment": deployment.name,
        "objective": deployment.objective,
        "offered": len(load.requests),
        "goodput_ratio": round(len(good) / max(1, len(naive_good)), 2),
        "goodput": round(len(good) / len(load.requests), 3),
        "goodput_naive": round(len(naive_good) / len(naive.requests), 3),
        "important_goodput": round(
            sum(request.good for request in important) / len(important), 4
        ),
        "recovery_s": find_recovery(load.requests, load.requests[0].due, end),
        "recovery_naive_s": find_recovery(
            naive.requests, naive.requests[0].due, naive_end
        ),
        "wasted_share": measure_waste(reports, good),
        "wasted_share_naive": measure_waste(naive_reports, naive_good),
        "max_attempts": max(*runs, *per_root.values()),
        "attempt_bound": 2 * ZONES * (1 + RESENDS) * (1 + EXTRA_ATTEMPTS),
    }
    curves = {"nodes": count_good(load.requests), "naive": count_good(naive.requests)}
    return figures, curves


def measure_waste(reports: list[dict], good: set[str]) -> float:
    """Return the share of the targets' busy time spent on roots that are not good."""
    busy = wasted = 0.0
    for report in reports:
        for root, seconds in report["busy_s"].items():
            busy += seconds
            wasted += 0.0 if root in good else seconds
    return round(wasted / busy, 3) if busy else 0.0


def count_good(requests: list[Request]) -> list[float]:
    """Return the number of good requests for each second in which they were due."""
    counts: Counter[int] = Counter()
    for request in requests:
        counts[int(request.due - requests[0].due)] += request.good
    return [counts[second] for second in range(int(WARM_S + TRIGGER_S + AFTER_S))]


def plot(curves: dict[str, dict], path: str) -> None:
    """Plot the curves of all deployments into one image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(curves), figsize=(11, 4), sharey=True)
    for axis, (name, by_label) in zip(axes, curves.items()):
        for label, curve in by_label.items():
            axis.plot(curve, label=label)
        axis.axvspan(WARM_S, WARM_S + TRIGGER_S, alpha=0.15, label="trigger")
        axis.set(title=name, xlabel="seconds", ylabel="good requests per second")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> None:
    """Run every deployment and print one JSON line for each."""
    curves = {}
    for deployment in DEPLOYMENTS:
        figures, curves[deployment.name] = summarize(deployment)
        print(json.dumps(figures), flush=True)
    if "--plot" in sys.argv:
        plot(curves, sys.argv[sys.argv.index("--plot") + 1])


if __name__ == "__main__":
    main()
