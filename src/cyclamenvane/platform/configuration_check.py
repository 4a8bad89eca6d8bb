"""Check of a configuration document before it is sent to the platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from ..mesh.configuration_check import check_configuration
from ..mesh.configuration_diff import compare_configurations
from ..mesh.findings import Finding, FindingKind
from ..mesh.model import Configuration
from .documents import decode_document, parse_document
from .places import PlaceRenderer, make_place_renderer
from .problems import Problem
from .redaction import Redactor, make_redactor

__all__ = ["DocumentFinding", "check_documents"]

_DOCUMENT = "document"
_IN_FORCE = "in force"


@dataclass(frozen=True, slots=True)
class DocumentFinding:
    """A finding as it is printed, with its path in the document; it has no key."""

    kind: FindingKind
    place: str
    text: str


@dataclass(frozen=True, slots=True)
class _Decoded:
    configuration: Configuration
    problems: tuple[Problem, ...]  # without keys
    render_place: PlaceRenderer


def check_documents(data: bytes, in_force: bytes | None) -> list[DocumentFinding]:
    """Return what is wrong with a document, and what differs from the one in force."""
    try:
        return _check_documents(data, in_force)
    except RecursionError:
        text = "cannot decode configuration: it is nested too deeply"
        return [DocumentFinding(FindingKind.ERROR, _DOCUMENT, text)]


def _check_documents(data: bytes, in_force: bytes | None) -> list[DocumentFinding]:
    document = parse_document(data)
    old_document = None if in_force is None else parse_document(in_force)
    readable = [each.ok for each in (document, old_document) if each and each.is_ok()]
    redactor = make_redactor(*readable)
    decoded = document.bind(lambda value: _decode(value, data, redactor))
    findings = _check_decoded(decoded)
    if old_document is not None and in_force is not None:
        encoded = in_force
        old = old_document.bind(lambda value: _decode(value, encoded, redactor))
        findings += _compare(decoded, old)
    order = list(FindingKind)
    findings.sort(key=lambda finding: order.index(finding.kind))
    return [
        DocumentFinding(
            finding.kind, redactor.redact(finding.place), redactor.redact(finding.text)
        )
        for finding in findings
    ]


def _decode(document: Any, data: bytes, redactor: Redactor) -> Result[_Decoded, str]:
    """Decode a document; no key is in its problems, or in the error message."""
    decoded = decode_document(document, data)
    redacted = decode_document(redactor.redact_document(document), b"")
    if decoded.is_error():
        # A document is readable without its keys only if one is in place of a field.
        text = "cannot decode configuration"
        return Error(redacted.error if redacted.is_error() else text)
    configuration, problems = decoded.ok
    renderer = make_place_renderer(document, problems)
    if redacted.is_ok():
        problems = redacted.ok[1]
    else:
        problems = tuple(
            Problem(problem.place, "cannot be decoded") for problem in problems
        )
    return Ok(_Decoded(configuration, problems, renderer))


def _check_decoded(decoded: Result[_Decoded, str]) -> list[DocumentFinding]:
    if decoded.is_error():
        return [DocumentFinding(FindingKind.ERROR, _DOCUMENT, decoded.error)]
    value = decoded.ok
    return [
        *(
            DocumentFinding(FindingKind.ERROR, problem.place, problem.text)
            for problem in value.problems
        ),
        *(
            _render(finding, value.render_place)
            for finding in check_configuration(value.configuration)
        ),
    ]


def _compare(
    decoded: Result[_Decoded, str], in_force: Result[_Decoded, str]
) -> list[DocumentFinding]:
    if in_force.is_error():
        return [DocumentFinding(FindingKind.ERROR, _IN_FORCE, in_force.error)]
    if decoded.is_error():
        return []
    new, old = decoded.ok, in_force.ok
    findings = compare_configurations(new.configuration, old.configuration)
    return [
        (
            _render(finding, old.render_place, f"{_IN_FORCE}: ")
            if finding.place.in_force
            else _render(finding, new.render_place)
        )
        for finding in findings
    ]


def _render(
    finding: Finding, render_place: PlaceRenderer, prefix: str = ""
) -> DocumentFinding:
    place = prefix + render_place(finding.place)
    return DocumentFinding(finding.kind, place, finding.text)
