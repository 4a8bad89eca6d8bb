"""The trace of one request from the logs of several nodes."""

from __future__ import annotations

import json

from cleo.testers.command_tester import CommandTester

from cyclamenvane.cli.explain import ExplainCommand
from cyclamenvane.mesh.trace import collect_trace


def line(message_type, name, origin="1.5 n-1", **fields):
    return f"{origin} " + json.dumps(
        {"message_type": message_type, "id": name, **fields}
    )


LINES = [
    line("forward:done", "a.1", "9.0 n-2", reason="no_room"),
    line("call:done", "a", status=500),
    "not a log line",
    line("call:done", "ab", status=200),
    '1.0 n-1 {"message_type": "call:done", "id": "a"',
    line("forward:done", "a", "0.1 n-3", status=500),
    line("call:done", "a.1", status=503),
]


def test_the_request_comes_first_then_its_nested_calls():
    trace = collect_trace("a", LINES)
    order = [(each.fields["id"], each.message_type) for each in trace.lines]
    assert order == [
        ("a", "call:done"),
        ("a", "forward:done"),
        ("a.1", "call:done"),
        ("a.1", "forward:done"),
    ]
    assert trace.malformed == 1
    assert "reason=no_room" in trace.render()


def test_shutdown_of_the_target_follows_the_request():
    """Guards against a call that runs too late, and nobody sees why."""

    def shutdown_line(message_type, at, **fields):
        fields = {"instance": "i-1", "timestamp": at} | fields
        return "n-3 " + json.dumps({"message_type": message_type, **fields})

    lines = [
        line("forward:done", "a", "n-3", status=200, instance="i-1", timestamp=9.5),
        shutdown_line("node:record_read", 7.0, session=2, written_by=1, leaving=True),
        shutdown_line("target:leaving_acknowledged", 5.1, announcement="ended"),
        shutdown_line("node:record_written", 5.0, session=1, leaving=True),
        shutdown_line("node:record_written", 1.0, session=1, leaving=False),
        shutdown_line("target:leaving_acknowledged", 5.1, instance="i-2"),
    ]
    trace = collect_trace("a", lines)
    assert [each.message_type for each in trace.shutdowns] == [
        "node:record_written",
        "target:leaving_acknowledged",
        "node:record_read",
    ]
    first, *others = trace.render().splitlines()
    assert first.startswith("a forward:done") and first.endswith("at=9.5")
    assert [text.rsplit("at=")[1] for text in others] == ["5.0", "5.1", "7.0"]
    assert "written_by=1" in others[-1] and "session=2" in others[-1]


def test_the_explain_command(tmp_path):
    log = tmp_path / "n.log"
    log.write_text("\n".join(LINES))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"a {log}") == 0
    assert "a.1 forward:done [9.0 n-2] reason=no_room" in tester.io.fetch_output()
    assert tester.execute(f"unknown {log}") == 1
    assert tester.execute(f"a {tmp_path / 'none'}") == 1
