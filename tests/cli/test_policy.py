"""Command line against a real node."""

from __future__ import annotations

import pytest
from cleo.testers.application_tester import ApplicationTester
from harness import KEYS, Cluster

from cyclamenvane.cli import make_application

DOCUMENT = """\
# comment of the desk team
[teams.desk]
objective = "recovery"
[teams.desk.services.booking]
deadline_ms = 2000
"""


class Shell:
    def __init__(self, control: str) -> None:
        self._control = control

    def run(self, command: str) -> tuple[int, str]:
        tester = ApplicationTester(make_application())
        status = tester.execute(f"{command} --control {self._control}")
        return status, tester.io.fetch_output() + tester.io.fetch_error()


@pytest.fixture
def shell(cluster: Cluster, monkeypatch: pytest.MonkeyPatch) -> Shell:
    monkeypatch.setenv("CYCLAMENVANE_OPERATORS_KEY", KEYS.operators)
    host, port = cluster.add_node("z1").control_listener.address
    return Shell(f"{host}:{port}")


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "document.toml"
    path.write_text(DOCUMENT)
    return path


def test_accepted_section_is_shown_as_written(shell, document) -> None:
    status, output = shell.run(f"policy accept {document} --operator ana")
    assert status == 0, output
    assert "accepted as version 1" in output
    assert "zone z1: in force at 1 of 1 nodes" in output
    shown = shell.run("policy show")[1]
    assert "# comment of the desk team" in shown and "version = 1" in shown
    assert "deadline_ms = 2000" in shown


def test_shown_document_can_be_edited_and_accepted(shell, document) -> None:
    shell.run(f"policy accept {document}")
    document.write_text(shell.run("policy show")[1].replace("2000", "3000"))
    diff = shell.run(f"policy diff {document}")[1]
    assert "-deadline_ms = 2000" in diff and "+deadline_ms = 3000" in diff
    assert shell.run(f"policy accept {document}")[0] == 0
    assert "nothing to accept" in shell.run(f"policy accept {document}")[1]
    history = shell.run("policy history desk")[1]
    assert "version 1 by" in history and "version 2 by" in history


def test_edit_of_an_old_version_is_rejected_with_a_diff(shell, document) -> None:
    shell.run(f"policy accept {document} --operator ana")
    document.write_text(DOCUMENT.replace("2000", "9000"))
    status, output = shell.run(f"policy accept {document} --operator ben")
    assert status == 1
    assert "not accepted" in output and "accepted meanwhile by ana" in output
    assert "+deadline_ms = 2000" in output


def test_problem_is_reported_with_its_line(shell, document) -> None:
    document.write_text(DOCUMENT.replace("2000", "0"))
    status, output = shell.run(f"policy accept {document}")
    assert status == 1
    assert f"{document}:5: section 'desk'" in output


def test_status_and_audit_show_what_was_accepted(shell, document) -> None:
    shell.run(f"policy accept {document} --operator ana")
    assert "ready" in shell.run("status")[1]
    assert "in force at 1 of 1 nodes" in shell.run("policy status")[1]
    assert "ana accept desk 0 -> 1" in shell.run("audit")[1]


def test_status_shows_a_target_that_is_marked_as_leaving(shell, document, cluster):
    target = cluster.add_target(cluster.nodes[0], "booking")
    assert "warm" in shell.run("status")[1]
    document.write_text(DOCUMENT + f'leaving = ["{target.address}"]\n')
    shell.run(f"policy accept {document}")
    assert "leaving" in shell.run("status")[1]


def test_missing_key_is_reported(shell, monkeypatch) -> None:
    monkeypatch.delenv("CYCLAMENVANE_OPERATORS_KEY")
    status, output = shell.run("status")
    assert status == 1 and "CYCLAMENVANE_OPERATORS_KEY" in output
