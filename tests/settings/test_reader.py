"""Parsing and checking of settings."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.settings import parse_settings

VALID_SETTINGS = """\
[node]
availability_zone = "amman-1"
host = "127.0.0.1"
[keys]
nodes = "0123456789abcdef"
callers = "0123456789abcdef"
operators = "0123456789abcdef"
targets = "0123456789abcdef"
"""


def test_valid_settings_are_accepted() -> None:
    settings = parse_settings(VALID_SETTINGS, "node.toml").ok
    assert settings.node.availability_zone == "amman-1"
    assert settings.platform.kind == "memory"


def test_every_problem_names_key_value_and_what_is_allowed() -> None:
    text = VALID_SETTINGS.replace('"127.0.0.1"', '"here"').replace(
        "[keys]", "front_port = 70000\nspeed = 1\n[keys]"
    )
    problems = str(parse_settings(text, "node.toml").error)
    assert "node.toml: node.host: got 'here'; allowed is an IP address" in problems
    assert "node.toml: node.front_port: got 70000; allowed are 0 to 65535" in problems
    assert "unknown key 'speed'" in problems


@given(st.text(max_size=300))
def test_any_text_is_rejected(text: str) -> None:
    assert parse_settings(text, "x").is_error()


@given(st.sampled_from(["host", "front_port", "seeds", "uploads"]), st.integers())
def test_any_number_is_accepted_or_rejected(key: str, value: int) -> None:
    text = VALID_SETTINGS.replace(
        'host = "127.0.0.1"', f'host = "127.0.0.1"\n{key} = {value}'
    )
    parse_settings(text, "x")
