"""Parsing and checking of the policy document."""

from __future__ import annotations

import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cyclamenvane.calls import Importance
from cyclamenvane.policy import parse_document, split_sections
from cyclamenvane.policy.rules import build_rule_set
from cyclamenvane.policy.section import Section

DOCUMENT = """\
# a comment of the desk
[teams.desk]
objective = "recovery"

[teams.desk.services.booking]
non_idempotent = ["POST /bookings"] # never twice

[[teams.desk.services.booking.importance]]
callers = ["crane-crews"]
requests = ["GET /positions/*"]
level = "critical"

[teams.vault]
[teams.vault.services.vault]
"""

SECOND_RULE = """\
[[teams.desk.services.booking.importance]]
level = "most"
"""


def test_sections_keep_their_comments() -> None:
    parts = split_sections(DOCUMENT)
    assert parts["desk"].startswith("# a comment of the desk\n[teams.desk]")
    assert "# never twice" in parts["desk"]
    document = tomllib.loads(DOCUMENT)
    joined = tomllib.loads("\n".join(parts.values()))
    assert joined == document


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"recovery"', '"speed"', "document:3: section 'desk'"),
        ('"critical"', '"utmost"', "document:11: section 'desk'"),
        ('"POST /bookings"', '"bookings"', "document:6: section 'desk'"),
        ("services.vault]", "services.booking]", "also in section 'desk'"),
        ("[teams.vault]", "[teams.vault]\nspeed = 1", "unknown key 'speed'"),
        ("[teams.vault]", "[teams.vault", "document:"),
        (
            "[teams.vault]\n",
            SECOND_RULE + "[teams.vault]\n",
            "document:14: section 'desk': teams.desk.services.booking.importance.1",
        ),
    ],
)
def test_problem_names_section_line_and_remedy(
    old: str, new: str, expected: str
) -> None:
    text = str(parse_document(DOCUMENT.replace(old, new)).error)
    assert expected in text


@given(st.text(max_size=300))
def test_any_text_is_accepted_or_rejected(text: str) -> None:
    parse_document(text)


@given(st.text(alphabet='[]teams.=\n"x1#{}', max_size=120))
def test_any_toml_is_accepted_or_rejected(text: str) -> None:
    parsed = parse_document("[teams.x]\n" + text)
    if parsed.is_ok():
        assert set(split_sections("[teams.x]\n" + text)) == set(parsed.ok.teams)


def test_rules_decide_by_caller_and_request(clock) -> None:
    section = Section("desk", 1, DOCUMENT, "e", "ana", clock.now())
    service_rules = build_rule_set([section]).find("booking")
    crew = service_rules.decide("crane-crews", "GET", "/positions/7?fresh=1")
    assert (crew.importance, crew.idempotent) == (Importance.CRITICAL, True)
    foreman = service_rules.decide("foremen", "GET", "/positions/7")
    assert foreman.importance is Importance.NORMAL
    booking = service_rules.decide("foremen", "POST", "/bookings")
    assert booking.requires_key and not booking.idempotent
    other = service_rules.decide("foremen", "POST", "/notes")
    assert not other.requires_key and not other.idempotent
