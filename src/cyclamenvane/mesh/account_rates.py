"""Account rate limits of a node: the decisions of `accounts`, on pooled streams.

A call whose account has a rate takes a token before it is sent to a target. One task
keeps the list of usable nodes and the buckets up to date; no call waits for it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Executor
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import eliot
from prometheus_client.core import GaugeMetricFamily

from ..accounts.cache import TokenCache
from ..accounts.client import Send
from ..accounts.counts import RefusalCounts
from ..accounts.exchange import Refusal, TokenExchange
from ..accounts.fleet import Fleet
from ..accounts.grants import BucketHolder
from ..accounts.silence import Check
from ..accounts.start import KnownNode
from ..accounts.upkeep import Upkeep
from .call import CallResult
from .errors import FrameError
from .forward import Reason
from .watch import Signal, WaitResult, Watch, watch_no_caller

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from prometheus_client import CollectorRegistry

    from ..accounts import Account
    from ..clock import Clock
    from .call import Call
    from .configuration import CurrentConfiguration
    from .directory import PeerDirectory
    from .model import MeshSettings
    from .peer_pool import PeerPool
    from .stop_event import Sleep

__all__ = ["AccountRates"]

_MAX_TOKEN_LIFETIME = timedelta(milliseconds=250)
_LIFETIME_SHARE = 0.5  # of the overshoot, in which tokens of the past may be used
_PROBE_TIMEOUT = timedelta(milliseconds=150)
_LOG_INTERVAL = timedelta(seconds=5)
# Of the target latency, that a call waits for a node to hold the bucket of its account.
_START_WAIT_SHARE = 0.25
_HOLDER_POLL_INTERVAL = timedelta(milliseconds=60)


class AccountRates:
    """Admits the calls of accounts, and answers other nodes that ask for tokens."""

    def __init__(
        self,
        get_settings: Callable[[], MeshSettings],
        configuration: CurrentConfiguration,
        directory: PeerDirectory,
        peers: PeerPool,
        registry: CollectorRegistry,
        clock: Clock,
        executor: Executor,
        sleep: Sleep,
    ) -> None:
        self._get_settings = get_settings
        self._configuration = configuration
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._executor = executor
        self._sleep = sleep
        self._accounts: dict[str, Account] = {}
        self._accounts_version = 0
        self._accounts_lock = threading.Lock()
        self._unset_signal = Signal()
        settings = get_settings()
        self._fleet = Fleet(
            settings.node, lambda: get_settings().zone, self._list_nodes, clock
        )
        self._holder = BucketHolder(
            self._fleet,
            self._find_account,
            configuration.version,
            lambda: get_settings().quota_tolerance,
            clock,
            lambda: get_settings().quota_overshoot,
        )
        self._cache = TokenCache(self._token_lifetime, clock)
        self._exchange = TokenExchange(
            self._fleet,
            self._holder,
            self._cache,
            configuration.version,
            clock,
            self._request_balance,
        )
        self._upkeep = Upkeep(self._fleet, self._holder, clock)
        self._refusals = RefusalCounts()
        self._relays: dict[str, timedelta] = {}  # when they were last asked through
        registry.register(self)

    def serve(
        self,
        call: Call,
        service: str,
        watch: Watch,
        try_targets: Callable[[Call, str, Watch], CallResult],
    ) -> CallResult:
        """Send a root call to its targets if its account has a token for it."""
        account = call.account
        if account is None or not account.rate:
            return try_targets(call, service, watch)
        refusal = self.admit(account, watch)
        if refusal is not None and refusal.no_holder:
            until = call.arrived + call.route.target_latency * _START_WAIT_SHARE
            refusal = self._wait_for_holder(account, watch, until)
        if refusal is not None:
            self._refusals.add(account.name)
            return CallResult(
                HTTPStatus.TOO_MANY_REQUESTS,
                retry_after=refusal.wait,
                reason=Reason.OVER_RATE,
                detail=refusal.detail,
                service=service,
            )
        result = try_targets(call, service, watch)
        if result.status == HTTPStatus.SERVICE_UNAVAILABLE and not result.sends:
            # Certainly not run at any target.
            self._cache.give_back(account)
        return result

    def admit(self, account: Account, watch: Watch) -> Refusal | None:
        """Take a token for a call; return why there is none."""
        return self._exchange.acquire(account, self._make_send(watch))

    def _wait_for_holder(
        self, account: Account, watch: Watch, until: timedelta
    ) -> Refusal | None:
        """Take a token as soon as a node holds the bucket; return why there is none.

        Nodes that have started together hold buckets within some tenths of a second.
        """
        while True:
            refusal = self.admit(account, watch)
            now = self._clock.monotonic()
            if refusal is None or not refusal.no_holder or now >= until:
                return refusal
            retry_at = min(until, now + _HOLDER_POLL_INTERVAL)
            if watch.wait(self._unset_signal.descriptor, retry_at) is (
                WaitResult.CALLER_GONE
            ):
                return refusal

    def excess(self, account: str) -> float:
        """Return how far the use of an account is above its rate, from 0 to 1."""
        return self._cache.excess(account)

    def answer(self, frame: list[Any], watch: Watch) -> list[Any]:
        """Answer a request for tokens; raises FrameError if it is invalid."""
        try:
            return self._exchange.answer(frame, self._make_send(watch))
        except (ValueError, TypeError, OverflowError) as error:
            raise FrameError(f"invalid request for tokens: {error}") from error

    def close(self) -> None:
        """Grant nothing any more: the node is stopping, and others take over."""
        self._upkeep.close()

    def run(self) -> None:
        """Keep nodes and buckets up to date until the node stops."""
        log_at = self._clock.monotonic() + _LOG_INTERVAL
        while self._sleep(self._upkeep.round_interval()):
            accounts = self._read_accounts()
            for node in self._upkeep.run_round(accounts.values()):
                self._executor.submit(self._probe_node, node)
            for check in self._upkeep.select_checks(accounts.values()):
                self._executor.submit(self._check_node, check)
            self._cache.retain(accounts)
            self._log_relays(accounts)
            if self._clock.monotonic() >= log_at:
                log_at = self._clock.monotonic() + _LOG_INTERVAL
                self._log_refusals()

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the metrics, for the registry."""
        family = GaugeMetricFamily(
            "cyclamenvane_account_refusals",
            "Calls refused over the rate of their account, since the start",
            labels=["account"],
        )
        for name, count in self._refusals.totals().items():
            family.add_metric([name], count)
        yield family
        yield GaugeMetricFamily(
            "cyclamenvane_account_buckets",
            "Accounts whose bucket this node holds for its zone",
            value=self._holder.count(),
        )

    def _probe_node(self, node: str) -> None:
        send = self._make_send(watch_no_caller(self._clock))
        self._exchange.client.probe(node, send, _PROBE_TIMEOUT)

    def _check_node(self, check: Check) -> None:
        self._exchange.client.check(
            check, self._make_send(watch_no_caller(self._clock))
        )

    def _request_balance(self, account: str) -> None:
        self._executor.submit(self._balance, account)

    def _balance(self, account: str) -> None:
        self._exchange.balance(account, self._make_send(watch_no_caller(self._clock)))

    def _make_send(self, watch: Watch) -> Send:
        def send(node: str, frame: list[Any], timeout: timedelta) -> list[Any] | None:
            peer = self._directory.find(node)
            if peer is None:
                return None
            answer = self._peers.exchange(peer.record.address, frame, watch, timeout)
            return [] if answer is None and watch.caller_gone else answer

        return send

    def _list_nodes(self) -> Iterable[KnownNode]:
        return [
            KnownNode(
                peer.record.node,
                peer.record.zone,
                not peer.is_unreachable(),
                peer.record.leaving,
            )
            for peer in self._directory.peers()
        ]

    def _find_account(self, name: str) -> Account | None:
        return self._read_accounts().get(name)

    def _read_accounts(self) -> dict[str, Account]:
        version = self._configuration.version()
        if version != self._accounts_version:
            with self._accounts_lock:
                table = self._configuration.current()
                if table is not None:
                    accounts = table.configuration.accounts or ()
                    self._accounts = {each.name: each for each in accounts}
                    self._accounts_version = table.configuration.version
        return self._accounts

    def _token_lifetime(self) -> timedelta:
        settings = self._get_settings()
        overshoot = settings.quota_window * settings.quota_overshoot
        return min(_MAX_TOKEN_LIFETIME, overshoot * _LIFETIME_SHARE)

    def _log_refusals(self) -> None:
        for name, count in self._refusals.take_recent().items():
            eliot.log_message("account:over_rate", account=name, refused=count)

    def _log_relays(self, accounts: Iterable[str]) -> None:
        """Log through which nodes this one begins and ends to ask for tokens.

        A relay is used by a node that comes first for an account among those that it
        reaches, while an unreached node runs and holds the bucket.
        """
        now, zone = self._clock.monotonic(), self._fleet.zone
        unreached: dict[str, set[str]] = {}
        for name in accounts:
            silent = self._fleet.unreached(name, zone)
            if not silent or self._fleet.ranked(name, zone)[:1] != (
                self._fleet.local_node,
            ):
                continue
            relay = self._fleet.find_holder(name)
            if relay and relay != self._fleet.local_node:
                unreached.setdefault(relay, set()).update(silent)
        for relay, nodes in unreached.items():
            if relay not in self._relays:
                names = ",".join(sorted(nodes))
                eliot.log_message("account:relay_used", relay=relay, unreached=names)
            self._relays[relay] = now
        for relay, used_at in list(self._relays.items()):
            # A link that breaks again and again would be logged each time.
            if now - used_at >= _LOG_INTERVAL:
                del self._relays[relay]
                eliot.log_message("account:relay_ended", relay=relay)
