"""DENIED: a head within maxHeaderBytes is refused if it arrives in several pieces."""

import random
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import lab2  # noqa: E402

REQUESTS = 200
LONG_EVERY = 4  # one request in so many has a long head
COOKIE_BYTES = 10_000  # 61% of maxHeaderBytes
PIECES = 4
PAUSE_S = 0.05  # between two pieces; the whole head takes 0.15 s of headerTimeoutS 3
OWN_STATUSES_NOT_COUNTED = (408, 421, 429)


def send(fleet, number):
    """Send one request; return whether it is denied, and whether it is served."""
    node = fleet.nodes[number % len(fleet.nodes)]
    attempt = f"{random.getrandbits(64):016x}"
    is_long = number % LONG_EVERY == 0
    headers = {"Cookie": "session=" + "c" * (COOKIE_BYTES - 8)} if is_long else {}
    head = lab2.make_head("GET", f"/items/{number}", attempt, **headers)
    pieces = PIECES if is_long and lab2.has_trouble() else 1
    size = -(-len(head) // pieces)
    assert len(head) < lab2.LIMITS["maxHeaderBytes"]
    started = time.monotonic()
    answer = {}
    status = 0
    try:
        with socket.create_connection((node.host, lab2.PORTS["outbound"]), 1) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(6)
            for start in range(0, len(head), size):
                if start:
                    time.sleep(PAUSE_S)
                sock.sendall(head[start : start + size])
            took = time.monotonic() - started
            status, answer, _ = lab2.read_answer(sock)
    except OSError as error:
        fleet.record.line(f"{attempt}: {error!r}")
        return False, False
    signed = "x-upstream-signature" in answer
    fleet.record.line(
        f"sent {attempt}, head of {len(head)} bytes in {pieces} pieces within "
        f"{took:.2f} s; answered {status}{' by the server' if signed else ''}"
    )
    denied = 300 <= status < 500 and status not in OWN_STATUSES_NOT_COUNTED
    return denied and not signed, status == 200 and signed


def main():
    fleet = lab2.Fleet(__file__, ["stock", "stock"])
    fleet.configure(lab2.route("items", "stock"))
    fleet.start()
    with ThreadPoolExecutor(8) as executor:
        outcomes = list(executor.map(lambda n: send(fleet, n), range(REQUESTS)))
    denied = sum(each for each, _ in outcomes)
    served = sum(each for _, each in outcomes)
    allowed = 5 + REQUESTS / 500
    text = f"{denied} of {REQUESTS} requests denied, {allowed:.1f} are allowed"
    lab2.finish(fleet, denied > allowed, f"{text}; {served} served")


lab2.run(main)
