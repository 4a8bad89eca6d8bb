"""The policy document: its sections, their acceptance and distribution."""

from __future__ import annotations

from .acceptance import (
    Edit,
    Rejection,
    accept_edit,
    list_history,
    read_head,
    read_section,
    read_sections,
)
from .document import (
    MAX_SECTION_BYTES,
    Document,
    DocumentError,
    ManualRule,
    parse_document,
    split_sections,
)
from .rules import CompiledServiceRules, Decision, RuleSet, build_rule_set
from .section import Section, SectionTable, pack_section, unpack_section
from .section_sync import SectionSync

__all__ = [
    "MAX_SECTION_BYTES",
    "CompiledServiceRules",
    "Decision",
    "Document",
    "DocumentError",
    "Edit",
    "ManualRule",
    "Rejection",
    "RuleSet",
    "Section",
    "SectionSync",
    "SectionTable",
    "accept_edit",
    "build_rule_set",
    "list_history",
    "pack_section",
    "parse_document",
    "read_head",
    "read_section",
    "read_sections",
    "split_sections",
    "unpack_section",
]
