"""DRAIN: an acknowledged leaving is forgotten if the node ends right after it."""

import math
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import lab2  # noqa: E402

MACHINES = 16
LEAVING = 4  # of them, a share of 0.25
BETWEEN_S = 1.5  # two kills, so that one node at a time is down
CLIENT_NODES = 8
DRAIN_TIMEOUT_S = 2.0
STABLE_WINDOW_S = 3.0
DOWN_S = 0.7  # of a killed node
# The late heartbeat arrives when the restarted node is in touch again.
LATE_S = DOWN_S + STABLE_WINDOW_S + 0.5
LINGER_S = 8.0  # from the acknowledgement to the server's exit
GAP_S = 0.04


class Leaving:
    """A server that sends DELETE first, and a heartbeat from before that is late."""

    def __init__(self, node, server):
        self.node, self.server = node, server
        self.acked_at = math.inf

    def run(self):
        server, node = self.server, self.node
        late_beat = server.make_beat()  # sent before the DELETE, held up on its way
        server.state = "leaving"
        host = server.host
        with socket.create_connection((host, lab2.PORTS["admin"]), 1) as sock:
            path = f"/api/endpoints/{server.instance}"
            sock.sendall(f"DELETE {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            answer = sock.recv(4096)
            if lab2.has_trouble():
                node.process.kill()
            self.acked_at = time.monotonic()
        server.fleet.record.line(f"DELETE {server.instance} -> {answer[:15]!r}")
        if not answer.startswith(b"HTTP/1.1 200"):
            lab2.give_up(server.fleet, "the leaving was not acknowledged")
        if lab2.has_trouble():
            node.kill()
            time.sleep(DOWN_S)
            node.start()
        time.sleep(max(0.0, self.acked_at + LATE_S - time.monotonic()))
        server.send_beat(late_beat)
        time.sleep(max(0.0, self.acked_at + LINGER_S - time.monotonic()))
        server.exit()

    def late_runs(self):
        """Return the times after the acknowledgement of the runs that were too late."""
        delays = [at - self.acked_at for at, _, _ in self.server.runs]
        return [each for each in delays if each > DRAIN_TIMEOUT_S]


def send_requests(client, stopped, statuses):
    number = 0
    while not stopped.is_set():
        number += 1
        statuses.append(client.call("POST", f"/orders/{number}", b"order")[1])
        time.sleep(GAP_S)


def main():
    fleet = lab2.Fleet(__file__, ["desk"] * MACHINES, work_s=0.15)
    fleet.configure(lab2.route("orders", "desk", "non_idempotent"))
    fleet.start()
    stopped, statuses = threading.Event(), []
    # The machines that take the requests from clients are not disturbed.
    for node in fleet.nodes[LEAVING : LEAVING + CLIENT_NODES]:
        arguments = lab2.Client(fleet, node), stopped, statuses
        threading.Thread(target=send_requests, args=arguments, daemon=True).start()
    time.sleep(1.0)
    cases, threads = [], []
    for node, server in list(zip(fleet.nodes, fleet.servers))[:LEAVING]:
        cases.append(Leaving(node, server))
        threads.append(threading.Thread(target=cases[-1].run))
        threads[-1].start()
        time.sleep(BETWEEN_S)
    for thread in threads:
        thread.join(30)
    time.sleep(0.5)
    stopped.set()
    time.sleep(0.5)
    late = {each.server.instance: each.late_runs() for each in cases}
    failed = [status for status in statuses if status != 200]
    text = "runs over drainTimeoutS after the acknowledgement: " + ", ".join(
        f"{name} {len(times)}" + (f" (up to {max(times):.1f} s)" if times else "")
        for name, times in late.items()
    )
    text += f"; {len(statuses)} requests answered, not 200: {failed}"
    lab2.finish(fleet, any(late.values()), text)


lab2.run(main)
