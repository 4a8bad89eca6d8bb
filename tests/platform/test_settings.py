"""Parsing and checking of the platform's settings file."""

from __future__ import annotations

import re
from datetime import timedelta

import pytest
from cleo.testers.command_tester import CommandTester

from cyclamenvane.platform import parse_mesh_settings, read_mesh_settings
from cyclamenvane.platform.command import CheckSettingsCommand

TEXT = """
nodeId=sidecar-a-1
zone=a
ip=10.1.0.8
zones.a=r
zones.b=r
service=stock
listen.outbound=10.1.0.8:8304
listen.readinessAddress=10.1.0.8:8302
listen.admin=10.1.0.8:8306
internalPortRange=7620,7635
limits.memoryLimitMb=300
limits.maxOpenFiles=4100
platform.readsPerS=2000
bounds=drainTimeoutS=2,gracePeriodS=6,retryBudgetRatio=0.2,retryWindowS=10,budgetSlack=49,stableWindowS=3
upstreamAddress=10.1.0.8:8301
platform.address=10.200.1.7:8309
fieldOfALaterVersion=x
"""


def test_every_field_is_read():
    settings = parse_mesh_settings(TEXT).ok
    assert settings.node == "sidecar-a-1" and settings.zones == ("a", "b")
    assert settings.peer_listener == ("10.1.0.8", 7620)
    assert settings.target == ("10.1.0.8", 8301)
    assert settings.store == ("10.200.1.7", 8309)
    assert settings.grace_period == timedelta(seconds=6)
    assert settings.store_recovery_time == timedelta(seconds=3)
    assert settings.drain_timeout == timedelta(seconds=2)
    assert settings.retry_budget_slack == 49
    assert settings.memory_bytes == 300 * 1024 * 1024
    assert not settings.first_start
    assert parse_mesh_settings(TEXT + "bootstrap=true\n").ok.first_start


def test_each_problem_names_its_field():
    invalid = TEXT.replace("zone=a\n", "", 1).replace("10.1.0.8:8306", "nowhere")
    invalid = invalid.replace("gracePeriodS=6", "gracePeriodS=soon")
    problems = parse_mesh_settings(invalid + "no equals sign\n").error
    names = {problem.partition(":")[0] for problem in problems}
    assert names == {"zone", "listen.admin", "bounds.gracePeriodS", "line 18"}


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("retryWindowS=10", "retryWindowS=0"),
        ("retryWindowS=10", "retryWindowS=-10"),
        ("retryWindowS=10", "retryWindowS=inf"),
        ("retryBudgetRatio=0.2", "retryBudgetRatio=nan"),
        ("budgetSlack=49", "budgetSlack=-1"),
        ("budgetSlack=49", "budgetSlack=inf"),
    ],
)
def test_bound_of_retries_out_of_range_is_a_problem(before, after):
    """Guards against calls that all end with a division by zero, and against retries
    without a bound, after a mistake in the settings."""
    (problem,) = parse_mesh_settings(TEXT.replace(before, after)).error
    assert problem.startswith(f"bounds.{after.partition('=')[0]}: invalid value")


@pytest.mark.parametrize(
    "setting",
    [
        "quotaWindowS=0",
        "quotaWindowS=-5",
        "quotaWindowS=nan",
        "quotaWindowS=inf",
        "quotaWindowS=1e300",
        "quotaOvershoot=-0.1",
        "quotaOvershoot=nan",
        "quotaOvershoot=inf",
        "quotaTolerance=-1",
        "quotaTolerance=nan",
        "quotaTolerance=inf",
    ],
)
def test_bound_of_account_rates_out_of_range_is_a_problem(setting):
    """Failure: after a mistake in the settings, accounts have no bound or no tokens, or
    the node ends with an error in place of naming the setting."""
    text = TEXT.replace("bounds=", f"bounds={setting},")
    (problem,) = parse_mesh_settings(text).error
    assert problem.startswith(f"bounds.{setting.partition('=')[0]}: invalid value")


def test_bounds_of_account_rates_are_read():
    """Failure: values that were accepted before are refused."""
    values = "quotaWindowS=5,quotaOvershoot=0.1,quotaTolerance=20"
    settings = parse_mesh_settings(TEXT.replace("bounds=", f"bounds={values},")).ok
    assert settings.quota_window == timedelta(seconds=5)
    assert (settings.quota_overshoot, settings.quota_tolerance) == (0.1, 20)
    none = TEXT.replace("bounds=", "bounds=quotaOvershoot=0,quotaTolerance=0,")
    assert parse_mesh_settings(none).ok.quota_tolerance == 0


@pytest.mark.parametrize("setting", ["gracePeriodS", "stableWindowS", "drainTimeoutS"])
def test_endless_time_is_a_problem(setting):
    """Failure: the node ends with an error that does not name the setting."""
    text = re.sub(f"{setting}=[0-9]+", f"{setting}=inf", TEXT)
    (problem,) = parse_mesh_settings(text).error
    assert problem.startswith(f"bounds.{setting}: invalid value")


def test_unreadable_file_is_reported(tmp_path):
    (problem,) = read_mesh_settings(tmp_path / "none").error
    assert "cannot be read" in problem


def test_command_prints_each_problem(tmp_path):
    path = tmp_path / "local.conf"
    path.write_text(TEXT)
    tester = CommandTester(CheckSettingsCommand())
    assert tester.execute(str(path)) == 0
    path.write_text(TEXT.replace("service=stock\n", ""))
    assert tester.execute(str(path)) == 1
    assert "service: missing" in tester.io.fetch_error()


def test_share_of_the_memory_for_messages_is_optional_and_checked():
    """Guards against a share that leaves no memory for anything else."""
    assert parse_mesh_settings(TEXT).ok.message_memory_share == pytest.approx(1 / 3)
    line = "limits.messageMemoryShare="
    assert parse_mesh_settings(TEXT + line + "0.25\n").ok.message_memory_share == 0.25
    for value in ("0", "0.9", "nan", "all"):
        (problem,) = parse_mesh_settings(TEXT + line + value + "\n").error
        assert problem.startswith("limits.messageMemoryShare: invalid value")
