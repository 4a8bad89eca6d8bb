"""Removal of the keys of client accounts from what is printed.

A key may be anywhere in a document by mistake, for instance as the name of a route. All
texts of a field of keys count as keys, whether they are well-formed or not.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

__all__ = ["MIN_KEY_LENGTH", "Redactor", "make_redactor"]

# A shorter key cannot be told from a part of any word, so it is not looked for.
MIN_KEY_LENGTH = 4
# Is shorter than each key, so it contains none.
_REPLACEMENT = "***"
_ACCOUNTS = "tenants"
_KEYS = "apiKeys"


class Redactor:
    """Replaces keys in texts and documents."""

    def __init__(self, keys: frozenset[str]) -> None:
        # The decoder converts hosts to lower case.
        self._keys = sorted(keys | {key.lower() for key in keys}, key=len, reverse=True)

    def redact(self, text: str) -> str:
        """Return a text on one line in which each key is replaced."""
        return self._replace(_escape(self._replace(text)))

    def redact_document(self, document: Any) -> Any:
        """Return a document with no key but those of accounts.

        The decoder escapes and cuts what it quotes, so keys are replaced before.
        """
        if not isinstance(document, dict):
            return self._redact_value(document)
        accounts = document.get(_ACCOUNTS)
        redacted = self._redact_value(document)
        if isinstance(accounts, list):
            redacted[_ACCOUNTS] = [self._redact_account(each) for each in accounts]
        return redacted

    def _redact_account(self, account: Any) -> Any:
        redacted = self._redact_value(account)
        if isinstance(account, dict) and _KEYS in account:
            # Replaced keys would all be the same. The decoder quotes none of them.
            redacted[_KEYS] = account[_KEYS]
        return redacted

    def _redact_value(self, value: Any) -> Any:
        if isinstance(value, str):
            return self._replace(value)
        if isinstance(value, list):
            return [self._redact_value(each) for each in value]
        if isinstance(value, dict):
            return {
                self._redact_field(name): self._redact_value(each)
                for name, each in value.items()
            }
        return value

    def _redact_field(self, name: str) -> str:
        # All known names are identifiers. They are printed without escapes, so that
        # those which are keys are found in the printed text.
        return name if name.isidentifier() else self._replace(name)

    def _replace(self, text: str) -> str:
        # Replacing one key may form another one. The text gets shorter each time.
        while any(key in text for key in self._keys):
            for key in self._keys:
                text = text.replace(key, _REPLACEMENT)
        return text


def make_redactor(*documents: Any) -> Redactor:
    """Return a redactor for the keys of some documents."""
    keys = {
        text
        for document in documents
        for text in _list_keys(document)
        if len(text) >= MIN_KEY_LENGTH
    }
    return Redactor(frozenset(keys))


def _list_keys(document: Any) -> Iterator[str]:
    if isinstance(document, dict):
        # Texts in place of an account may be keys.
        yield from _list_texts(document.get(_ACCOUNTS), True)
    yield from _list_texts(document, False)


def _list_texts(value: Any, may_be_key: bool) -> Iterator[str]:
    """Yield the texts and numbers of a value that may be keys."""
    if isinstance(value, dict):
        for name, each in value.items():
            yield from _list_all(each) if name == _KEYS else _list_texts(each, False)
    elif isinstance(value, list):
        for each in value:
            yield from _list_texts(each, may_be_key)
    elif may_be_key:
        yield from _list_all(value)


def _list_all(value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        for name, each in value.items():
            yield name
            yield from _list_all(each)
    elif isinstance(value, list):
        for each in value:
            yield from _list_all(each)
    elif isinstance(value, (str, int, float)) and not isinstance(value, bool):
        yield str(value)


def _escape(text: str) -> str:
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode()
        for each in text
    )
