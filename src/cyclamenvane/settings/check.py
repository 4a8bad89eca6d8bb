"""Converts parsed TOML to frozen dataclasses and validates every value.

Types are checked strictly (a string is not accepted as a number), unknown keys are
errors, and all problems are reported together, each with the key, the invalid value
and what is allowed. Constraints are declared in the annotation of a field:

    Port = Annotated[int, Between(0, 65535)]
"""

from __future__ import annotations

from dataclasses import dataclass, fields, is_dataclass
from enum import IntEnum
from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import cattrs
from cattrs.errors import (
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override
from expression import Error, Ok, Result

__all__ = ["Between", "OneOf", "Pattern", "Problem", "build_checked"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Between:
    """Allows numbers from `low` to `high`, inclusive."""

    low: int
    high: int

    def __call__(self, value: Any) -> None:
        """Raise ValueError if the value is out of range."""
        if not self.low <= value <= self.high:
            raise ValueError(f"got {value!r}; allowed are {self.low} to {self.high}")


@dataclass(frozen=True, slots=True)
class OneOf:
    """Allows the listed values."""

    values: tuple[str, ...]

    def __call__(self, value: Any) -> None:
        """Raise ValueError if the value is not one of `values`."""
        if value not in self.values:
            allowed = ", ".join(repr(each) for each in self.values)
            raise ValueError(f"got {value!r}; allowed are {allowed}")


@dataclass(frozen=True, slots=True)
class Pattern:
    """Allows text for which `matches` is true; `description` names it in errors."""

    matches: Any
    description: str

    def __call__(self, value: Any) -> None:
        """Raise ValueError if the text does not match."""
        if not self.matches(value):
            raise ValueError(f"got {value!r}; allowed is {self.description}")


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a document: the dotted key and a description."""

    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.key}: {self.text}" if self.key else self.text


def build_checked(data: Any, kind: type[T]) -> Result[T, tuple[Problem, ...]]:
    """Return `data` converted to `kind`, or all problems found in it."""
    try:
        return Ok(_CONVERTER.structure(data, kind))
    except BaseValidationError as error:
        return Error(tuple(_collect_problems(error, ())))
    except (ValueError, TypeError) as error:
        return Error((Problem("", str(error)),))


def _collect_problems(error: BaseException, path: tuple[str, ...]) -> list[Problem]:
    if not isinstance(error, BaseValidationError):
        return [_describe_problem(error, path)]
    problems: list[Problem] = []
    for cause in error.exceptions:
        problems += _collect_problems(cause, path + _find_path_step(cause))
    return problems


def _find_path_step(cause: BaseException) -> tuple[str, ...]:
    for note in getattr(cause, "__notes__", ()):
        if isinstance(note, IterableValidationNote):
            return (str(note.index),)
        name = getattr(note, "name", None)
        if name is not None:
            return (str(name),)
    return ()


def _describe_problem(error: BaseException, path: tuple[str, ...]) -> Problem:
    key = ".".join(path)
    if isinstance(error, ForbiddenExtraKeysError):
        extra = ", ".join(sorted(repr(name) for name in error.extra_fields))
        known = ", ".join(error.cl.__dataclass_fields__)
        return Problem(key, f"unknown key {extra}; allowed are {known}")
    if isinstance(error, KeyError):
        return Problem(key, f"required key {error.args[0]!r} is missing")
    return Problem(key, str(error))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind in (int, str, bool, float):
        converter.register_structure_hook(kind, _check_type)
    converter.register_structure_hook(IntEnum, _check_enum)
    converter.register_structure_hook_func(
        lambda hint: get_origin(hint) is Annotated,
        lambda value, hint: _check_annotated(converter, value, hint),
    )
    converter.register_structure_hook_factory(
        is_dataclass, lambda kind: _structure_table(converter, kind)
    )
    return converter


def _structure_table(converter: cattrs.Converter, kind: type) -> Any:
    # cattrs drops the constraints when it resolves the annotations of a dataclass.
    hints = get_type_hints(kind, include_extras=True)
    overrides = {
        field.name: override(struct_hook=_bind_hint(converter, hints[field.name]))
        for field in fields(kind)
    }
    structure = make_dict_structure_fn(
        kind,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )

    def check(value: Any, expected: type) -> Any:
        if not isinstance(value, dict):
            raise ValueError(f"got {value!r}; allowed is a table")
        return structure(value, expected)

    return check


def _bind_hint(converter: cattrs.Converter, hint: Any) -> Any:
    return lambda value, _: converter.structure(value, hint)


def _check_type(value: Any, expected: type) -> Any:
    if expected is float and type(value) is int:
        return float(value)
    if type(value) is not expected:
        raise ValueError(f"got {value!r}; allowed is {_TYPE_DESCRIPTIONS[expected]}")
    return value


def _check_enum(value: Any, expected: type[IntEnum]) -> IntEnum:
    names = {member.name.lower(): member for member in expected}
    if not isinstance(value, str) or value not in names:
        allowed = ", ".join(repr(name) for name in names)
        raise ValueError(f"got {value!r}; allowed are {allowed}")
    return names[value]


def _check_annotated(converter: cattrs.Converter, value: Any, hint: Any) -> Any:
    base, *checks = get_args(hint)
    built = converter.structure(value, base)
    for check in checks:
        check(built)
    return built


_TYPE_DESCRIPTIONS = {
    int: "a whole number",
    str: "a string",
    bool: "true or false",
    float: "a number",
}
_CONVERTER = _make_converter()
