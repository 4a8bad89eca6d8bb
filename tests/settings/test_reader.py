"""Reading and checking settings."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.settings import parse_settings

GOOD = """\
[node]
availability_zone = "amman-1"
host = "127.0.0.1"
[keys]
nodes = "0123456789abcdef"
callers = "0123456789abcdef"
operators = "0123456789abcdef"
targets = "0123456789abcdef"
"""


def test_good_settings_are_read() -> None:
    settings = parse_settings(GOOD, "node.toml").ok
    assert settings.node.availability_zone == "amman-1"
    assert settings.platform.kind == "memory"


def test_every_problem_is_told_with_key_value_and_what_is_allowed() -> None:
    text = GOOD.replace('"127.0.0.1"', '"here"').replace(
        "[keys]", "front_port = 70000\nspeed = 1\n[keys]"
    )
    told = str(parse_settings(text, "node.toml").error)
    assert "node.toml: node.host: got 'here'; allowed is an IP number" in told
    assert "node.toml: node.front_port: got 70000; allowed are 0 to 65535" in told
    assert "unknown key 'speed'" in told


@given(st.text(max_size=300))
def test_any_text_is_judged(text: str) -> None:
    assert parse_settings(text, "x").is_error()


@given(st.sampled_from(["host", "front_port", "seeds", "uploads"]), st.integers())
def test_any_number_is_judged(key: str, value: int) -> None:
    text = GOOD.replace('host = "127.0.0.1"', f'host = "127.0.0.1"\n{key} = {value}')
    parse_settings(text, "x")
