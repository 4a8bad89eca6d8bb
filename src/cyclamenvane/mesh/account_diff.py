"""What differs between the client accounts of two configurations.

Keys are named by a digest only.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping

from ..accounts.model import Account
from .findings import Finding, FindingKind, Part, Place
from .model import Configuration

__all__ = ["compare_accounts", "digest_key", "format_keys"]

_DIGEST_BYTES = 4


def digest_key(key: bytes) -> str:
    """Return a short digest of a key, the one that `b2sum -l 32` prints."""
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).hexdigest()


def format_keys(keys: Iterable[bytes]) -> str:
    """Return the digests of some keys in a list."""
    digests = sorted(digest_key(key) for key in keys)
    return f"{'key' if len(digests) == 1 else 'keys'} {', '.join(digests)}"


def compare_accounts(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    """Yield accounts and keys added and removed, and changed limits and priorities."""
    yield from _compare_presence(checked, in_force)
    new = {account.name: account for account in checked.accounts or ()}
    old = {account.name: account for account in in_force.accounts or ()}
    for name, account in new.items():
        if name not in old:
            yield _make_difference(name, f"is added{_describe(account)}")
        else:
            yield from _compare_account(account, old[name])
    for name in old:
        if name not in new:
            yield _make_difference(name, "is removed", in_force=True)
    yield from _compare_keys(checked.keys, in_force.keys, new.keys())


def _compare_presence(
    checked: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    place = Place(Part.ACCOUNTS, in_force=checked.accounts is None)
    if checked.accounts is None and in_force.accounts is not None:
        text = "accounts are removed: no request needs a key"
        yield Finding(FindingKind.DIFFERENCE, place, text)
    elif checked.accounts is not None and in_force.accounts is None:
        text = "accounts are added: requests to routes that are not public need a key"
        yield Finding(FindingKind.DIFFERENCE, place, text)


def _compare_account(new: Account, old: Account) -> Iterator[Finding]:
    if new.priority != old.priority:
        yield _make_difference(new.name, f"priority {old.priority} -> {new.priority}")
    if new.rate != old.rate:
        # A rate of 0 is no limit.
        lowered = new.rate and (not old.rate or new.rate < old.rate)
        change = "lowered" if lowered else "raised"
        text = f"rate {change} from {_format_rate(old)} to {_format_rate(new)}"
        yield _make_difference(new.name, text)
    if new.burst != old.burst:
        yield _make_difference(new.name, f"burst {old.burst:g} -> {new.burst:g}")


def _compare_keys(
    new: Mapping[bytes, Account], old: Mapping[bytes, Account], names: Iterable[str]
) -> Iterator[Finding]:
    kept = set(names)
    added: dict[str, list[bytes]] = defaultdict(list)
    removed: dict[str, list[bytes]] = defaultdict(list)
    moved: dict[tuple[str, str], list[bytes]] = defaultdict(list)
    for key, account in new.items():
        before = old.get(key)
        if before is None:
            added[account.name].append(key)
        elif before.name != account.name:
            moved[before.name, account.name].append(key)
    for key, account in old.items():
        if key not in new:
            removed[account.name].append(key)
    for name, keys in added.items():
        yield _make_difference(name, f"{format_keys(keys)} added")
    for name, keys in removed.items():
        text = f"{format_keys(keys)} removed"
        yield _make_difference(name, text, in_force=name not in kept)
    for (before_name, name), keys in moved.items():
        text = f"{format_keys(keys)} taken over from account {before_name}"
        yield _make_difference(name, text)


def _make_difference(name: str, text: str, in_force: bool = False) -> Finding:
    place = Place(Part.ACCOUNT, name=name, in_force=in_force)
    return Finding(FindingKind.DIFFERENCE, place, f"account {name}: {text}")


def _describe(account: Account) -> str:
    return f" with priority {account.priority} and {_format_rate(account)}"


def _format_rate(account: Account) -> str:
    return f"{account.rate:g} calls a second" if account.rate else "no limit"
