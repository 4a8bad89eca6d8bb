"""The HTTP way in: callers' requests to any service, at any node.

A request names its service in the `Cyclamenvane-Service` header, or else in the
first part of its path. A caller proves its name with a bearer credential. A
request that a target makes for a call it is serving passes on the
`Cyclamenvane-Context` header that it was called with, and inherits importance,
deadline and allowance from it.
"""

from __future__ import annotations

import hmac
import threading
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from ..calls import (
    CONTEXT_HEADER,
    Answer,
    CallContext,
    CallScope,
    Outcome,
    Pipe,
    Refusal,
    Request,
    open_token,
    refuse_call,
    report_unknown,
)
from ..effects import format_ticket
from ..wire import derive_credential
from .channel import UPLOAD_KEY
from .http import collect_headers, find_bearer, finish_response, reply_text

if TYPE_CHECKING:
    from ..clock import Clock
    from ..policy import Rulebook, ServiceBook
    from ..routing import KeyedRouter, Router
    from .execution import Execution
    from .metric import CallMetrics

__all__ = ["Front", "check_credential"]

SERVICE_HEADER = "HTTP_CYCLAMENVANE_SERVICE"
REQUEST_ID_HEADER = "HTTP_CYCLAMENVANE_REQUEST_ID"
TICKET_PATH = "/-/ticket"
_CONTEXT_KEY = "HTTP_" + CONTEXT_HEADER.upper().replace("-", "_")
_KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
_MOST_NAME_CHARS = 128
_UNKNOWN_SERVICE = "unknown"
_WATCH_EVERY = timedelta(milliseconds=50)

Environ = dict[str, Any]


def check_credential(credential: str, caller_key: bytes) -> str | None:
    """Return the caller's name in a credential `NAME.SECRET`, if it is right."""
    name, _, secret = credential.rpartition(".")
    expected = derive_credential(caller_key, name).decode()
    if not name or not hmac.compare_digest(secret.encode(), expected.encode()):
        return None
    return name


@dataclass(frozen=True, slots=True)
class _Arrival:
    environ: Environ
    service: str
    path: str
    book: ServiceBook
    upload: Pipe | None
    began: timedelta

    @property
    def method(self) -> str:
        return self.environ["REQUEST_METHOD"]

    @property
    def request_id(self) -> str:
        return self.environ.get(REQUEST_ID_HEADER, "")[:_MOST_NAME_CHARS]

    @property
    def deadline(self) -> timedelta:
        return self.began + self.book.deadline


class _Watch:
    """Cancels the calls whose callers have gone."""

    def __init__(self) -> None:
        self._watched: dict[int, tuple[Callable[[], bool], CallScope]] = {}
        self._stopped = threading.Event()

    def add(self, is_gone: Callable[[], bool] | None, scope: CallScope) -> None:
        if is_gone is not None:
            self._watched[id(scope)] = (is_gone, scope)

    def remove(self, scope: CallScope) -> None:
        self._watched.pop(id(scope), None)

    def run(self) -> None:
        while not self._stopped.wait(_WATCH_EVERY.total_seconds()):
            for is_gone, scope in list(self._watched.values()):
                if is_gone():
                    scope.cancel()

    def stop(self) -> None:
        self._stopped.set()


class Front:
    """The WSGI application that callers talk to."""

    def __init__(
        self,
        router: Router,
        keyed: KeyedRouter,
        execution: Execution,
        rulebook: Callable[[], Rulebook],
        node_key: bytes,
        caller_key: bytes,
        clock: Clock,
        metrics: CallMetrics,
        uploads: int,
        is_ready: Callable[[], bool],
    ) -> None:
        self.watch = _Watch()
        self._router = router
        self._keyed = keyed
        self._execution = execution
        self._rulebook = rulebook
        self._node_key = node_key
        self._caller_key = caller_key
        self._clock = clock
        self._metrics = metrics
        self._uploads = threading.BoundedSemaphore(uploads)
        self._is_ready = is_ready

    def __call__(self, environ: Environ, start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        if environ["PATH_INFO"] == "/-/ready":
            ready = self._is_ready()
            text = "ready\n" if ready else "not ready\n"
            return reply_text(start_response, 200 if ready else 503, text)
        upload: Pipe | None = environ.get(UPLOAD_KEY)
        answer = self._answer(environ, upload)
        if upload is not None:
            # What has not been read of the body is dropped as it arrives.
            upload.fail("the request was answered")
        return finish_response(answer, start_response)

    def _answer(self, environ: Environ, upload: Pipe | None) -> Answer:
        service, path = _find_service(environ)
        if not service:
            return refuse_call(Refusal.BAD_REQUEST, "it names no service")
        arrival = _Arrival(
            environ,
            service,
            path,
            self._rulebook().find(service),
            upload,
            self._clock.monotonic(),
        )
        inherited = open_token(environ.get(_CONTEXT_KEY, ""), self._node_key)
        if inherited is None:
            return self._enter(arrival)
        return self._continue(arrival, inherited)

    def _enter(self, arrival: _Arrival) -> Answer:
        caller = check_credential(find_bearer(arrival.environ), self._caller_key)
        if caller is None:
            return refuse_call(Refusal.UNAUTHENTICATED)
        decision = arrival.book.decide(caller, arrival.method, arrival.path)
        # A service that passes no context on would multiply attempts.
        is_service = bool(self._router.directory.find(caller))
        context = CallContext(
            root=arrival.request_id or uuid.uuid4().hex,
            caller=caller,
            importance=decision.importance,
            depth=0,
            allowance=0 if is_service else arrival.book.extra_attempts,
        )
        return self._call(arrival, CallScope(context, arrival.deadline))

    def _continue(self, arrival: _Arrival, context: CallContext) -> Answer:
        parent = self._execution.find_scope(context.dispatch)
        if parent is None and self._execution.owns(context.dispatch):
            # Its call has ended, so nobody waits for what it would do.
            return _refuse_early(arrival, Refusal.CANCELLED, "its own call has ended")
        if parent is None:
            # Dispatched on another VM, where its allowance is kept.
            parent = CallScope(_inherit(context, 0), arrival.deadline)
        scope = parent.fork(arrival.deadline)
        scope.context = _inherit(context, scope.context.allowance)
        try:
            return self._call(arrival, scope)
        finally:
            parent.join(scope, self._clock.monotonic() - arrival.began)

    def _call(self, arrival: _Arrival, scope: CallScope) -> Answer:
        request = _build_request(arrival, scope)
        if isinstance(request, Refusal):
            return _refuse_early(arrival, request)
        upload = arrival.upload
        if upload is not None and not self._uploads.acquire(blocking=False):
            return _refuse_early(arrival, Refusal.OVERLOAD, "too many uploads")
        is_gone = arrival.environ.get("waitress.client_disconnected")
        self.watch.add(is_gone, scope)
        try:
            answer = self._route(request, arrival.path, scope)
        finally:
            self.watch.remove(scope)
            if upload is not None:
                self._uploads.release()
        took = self._clock.monotonic() - arrival.began
        self._metrics.count(self._label(arrival), request, answer, took)
        return answer

    def _label(self, arrival: _Arrival) -> str:
        # Callers may name any service; only known ones get series of their own.
        known = arrival.book.team or self._router.directory.find(arrival.service)
        return arrival.service if known else _UNKNOWN_SERVICE

    def _route(self, request: Request, path: str, scope: CallScope) -> Answer:
        if path == TICKET_PATH:
            return self._give_ticket(request)
        if request.key:
            return self._keyed.call(request, scope)
        return self._router.call(request, scope)

    def _give_ticket(self, request: Request) -> Answer:
        ticket = self._keyed.mint(request)
        if isinstance(ticket, Refusal):
            return refuse_call(ticket)
        text = f"{format_ticket(ticket)}\n".encode()
        headers = (("Content-Type", "text/plain; charset=utf-8"),)
        return Answer(200, headers, text, Outcome.DONE)


def _inherit(context: CallContext, allowance: int) -> CallContext:
    return CallContext(
        context.root, context.caller, context.importance, context.depth, allowance
    )


def _find_service(environ: Environ) -> tuple[str, str]:
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
    raw = environ.get("REQUEST_URI", "") or path
    query = environ.get("QUERY_STRING", "")
    tail = f"?{query}" if query else ""
    service = environ.get(SERVICE_HEADER, "")
    target = raw.partition("?")[0]
    if service:
        return service, target + tail
    first, _, rest = target.lstrip("/").partition("/")
    return first, f"/{rest}{tail}"


def _refuse_early(arrival: _Arrival, refusal: Refusal, detail: str = "") -> Answer:
    # Nobody has looked up what became of another copy under the same key.
    if arrival.environ.get(_KEY_HEADER):
        return report_unknown(refusal, detail)
    return refuse_call(refusal, detail)


def _build_request(arrival: _Arrival, scope: CallScope) -> Request | Refusal:
    book, upload = arrival.book, arrival.upload
    decision = book.decide(scope.context.caller, arrival.method, arrival.path)
    key = arrival.environ.get(_KEY_HEADER, "")
    if decision.keyed and not key:
        return Refusal.KEY_REQUIRED
    if len(key) > _MOST_NAME_CHARS:
        return Refusal.BAD_REQUEST
    body: bytes | Pipe = upload or arrival.environ["wsgi.input"].read()
    length = (body.length or 0) if isinstance(body, Pipe) else len(body)
    if length > book.body_limit_bytes:
        return Refusal.BODY_TOO_LARGE
    return Request(
        service=arrival.service,
        method=arrival.method,
        path=arrival.path,
        headers=collect_headers(arrival.environ),
        body=body,
        context=scope.context,
        deadline=scope.deadline,
        request_id="" if scope.context.depth else arrival.request_id,
        key="" if decision.repeatable else key,
        repeatable=decision.repeatable,
    )
