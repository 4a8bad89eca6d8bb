"""Decoder for the client accounts of the platform's configuration.

An account that cannot be decoded is left out, so its keys are unknown. Messages name
the account and the position of a key, never a key.
"""

from __future__ import annotations

import math
from typing import Any

from ..accounts import Account
from .problems import Problem

__all__ = ["AccountKeys", "decode_accounts"]

AccountKeys = dict[bytes, Account]


def decode_accounts(
    document: dict[str, Any], problems: list[Problem]
) -> tuple[tuple[Account, ...] | None, AccountKeys]:
    """Return the accounts and the account of each key; None without accounts.

    No key is known if the accounts are not a list: requests are refused, as the
    accounts that were meant are unknown.
    """
    if "tenants" not in document:
        return None, {}
    documents = document["tenants"]
    if not isinstance(documents, list):
        text = "accounts are not a list: no key is known"
        problems.append(Problem("tenants", text))
        return (), {}
    accounts: dict[str, Account] = {}
    keys: AccountKeys = {}
    for number, each in enumerate(documents, start=1):
        place = f"tenants[{number - 1}]"
        try:
            account = _decode_account(each)
            values = _get_keys(each)
            if account.name in accounts:
                raise ValueError(f"the name {account.name!r} is taken")
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            label = _label_account(each, number)
            text = f"{label}: its keys are unknown: {error}"
            problems.append(Problem(place, text))
            continue
        accounts[account.name] = account
        _add_keys(account, values, keys, f"{place}.apiKeys", problems)
    return tuple(accounts.values()), keys


def _decode_account(document: Any) -> Account:
    if not isinstance(document, dict):
        raise TypeError("not an object")
    name = document.get("name")
    if not isinstance(name, str) or not _is_header_value(name):
        # The name is sent to targets in a header.
        raise ValueError("name is not a text that fits into a header")
    priority = document.get("priority")
    if not isinstance(priority, int) or isinstance(priority, bool) or priority < 0:
        raise ValueError("priority is not a whole number from 0")
    return Account(
        name,
        priority,
        _decode_limit(document, "ratePerS"),
        _decode_limit(document, "burst"),
    )


def _decode_limit(document: dict[str, Any], name: str) -> float:
    value = document.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{name} is not a number")
    if value < 0 or not math.isfinite(value):
        raise ValueError(f"{name} is negative or not finite")
    return float(value)


def _get_keys(document: dict[str, Any]) -> list[Any]:
    values = document.get("apiKeys")
    if not isinstance(values, list):
        raise TypeError("apiKeys is not a list")
    return values


def _add_keys(
    account: Account,
    values: list[Any],
    keys: AccountKeys,
    place: str,
    problems: list[Problem],
) -> None:
    for number, value in enumerate(values, start=1):
        label = f"account {account.name}: key {number}"
        key_place = f"{place}[{number - 1}]"
        if not isinstance(value, str) or not _is_key(value):
            text = f"{label} is unknown: not a text without spaces"
            problems.append(Problem(key_place, text))
            continue
        owner = keys.setdefault(value.encode(), account)
        if owner is not account:
            text = f"{label} is a key of account {owner.name}, which keeps it"
            problems.append(Problem(key_place, text))


def _label_account(document: Any, number: int) -> str:
    name = document.get("name") if isinstance(document, dict) else None
    if isinstance(name, str) and _is_header_value(name):
        return f"account {name}"
    return f"account number {number}"


def _is_header_value(text: str) -> bool:
    return text.isprintable() and text.strip() == text != ""


def _is_key(text: str) -> bool:
    return _is_header_value(text) and " " not in text
