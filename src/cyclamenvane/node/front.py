"""HTTP entry point of a node: accepts callers' requests to any service.

A request names its service in the `Cyclamenvane-Service` header, or else in the
first segment of its path. A caller authenticates with a bearer credential. A
target that makes a request on behalf of a call it is serving forwards the
`Cyclamenvane-Context` header that it received; the request inherits importance,
deadline and allowance from that context.
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
    CallContext,
    CallScope,
    Outcome,
    Pipe,
    Refusal,
    Request,
    Response,
    make_refusal,
    make_unknown_response,
    verify_token,
)
from ..effects import format_ticket
from ..wire import derive_credential
from .channel import UPLOAD_KEY
from .http import collect_headers, find_bearer, finish_response, reply_text

if TYPE_CHECKING:
    from ..clock import Clock
    from ..policy import CompiledServiceRules, RuleSet
    from ..routing import KeyedRouter, Router
    from .execution import Execution
    from .metric import CallMetrics

__all__ = ["Front", "check_credential"]

SERVICE_ENVIRON_KEY = "HTTP_CYCLAMENVANE_SERVICE"
REQUEST_ID_ENVIRON_KEY = "HTTP_CYCLAMENVANE_REQUEST_ID"
TICKET_PATH = "/-/ticket"
_CONTEXT_ENVIRON_KEY = "HTTP_" + CONTEXT_HEADER.upper().replace("-", "_")
_IDEMPOTENCY_ENVIRON_KEY = "HTTP_IDEMPOTENCY_KEY"
_MAX_NAME_CHARS = 128
_UNKNOWN_SERVICE = "unknown"
_DISCONNECT_CHECK_INTERVAL = timedelta(milliseconds=50)

Environ = dict[str, Any]


def check_credential(credential: str, caller_key: bytes) -> str | None:
    """Return the caller's name from a credential `NAME.SECRET`, None if invalid."""
    name, _, secret = credential.rpartition(".")
    expected = derive_credential(caller_key, name).decode()
    if not name or not hmac.compare_digest(secret.encode(), expected.encode()):
        return None
    return name


@dataclass(frozen=True, slots=True)
class _IncomingRequest:
    environ: Environ
    service: str
    path: str
    rules: CompiledServiceRules
    upload: Pipe | None
    started_at: timedelta

    @property
    def method(self) -> str:
        return self.environ["REQUEST_METHOD"]

    @property
    def request_id(self) -> str:
        return self.environ.get(REQUEST_ID_ENVIRON_KEY, "")[:_MAX_NAME_CHARS]

    @property
    def deadline(self) -> timedelta:
        return self.started_at + self.rules.deadline


class _DisconnectMonitor:
    """Cancels calls whose callers have disconnected."""

    def __init__(self) -> None:
        self._calls: dict[int, tuple[Callable[[], bool], CallScope]] = {}
        self._stopped = threading.Event()

    def add(self, is_disconnected: Callable[[], bool] | None, scope: CallScope) -> None:
        if is_disconnected is not None:
            self._calls[id(scope)] = (is_disconnected, scope)

    def remove(self, scope: CallScope) -> None:
        self._calls.pop(id(scope), None)

    def run(self) -> None:
        while not self._stopped.wait(_DISCONNECT_CHECK_INTERVAL.total_seconds()):
            for is_disconnected, scope in list(self._calls.values()):
                if is_disconnected():
                    scope.cancel()

    def stop(self) -> None:
        self._stopped.set()


class Front:
    """The WSGI application that serves callers."""

    def __init__(
        self,
        router: Router,
        keyed_router: KeyedRouter,
        execution: Execution,
        rule_set: Callable[[], RuleSet],
        node_key: bytes,
        caller_key: bytes,
        clock: Clock,
        metrics: CallMetrics,
        max_uploads: int,
        is_ready: Callable[[], bool],
    ) -> None:
        self.disconnect_monitor = _DisconnectMonitor()
        self._router = router
        self._keyed_router = keyed_router
        self._execution = execution
        self._rule_set = rule_set
        self._node_key = node_key
        self._caller_key = caller_key
        self._clock = clock
        self._metrics = metrics
        self._upload_slots = threading.BoundedSemaphore(max_uploads)
        self._is_ready = is_ready

    def __call__(self, environ: Environ, start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        if environ["PATH_INFO"] == "/-/ready":
            ready = self._is_ready()
            text = "ready\n" if ready else "not ready\n"
            return reply_text(start_response, 200 if ready else 503, text)
        upload: Pipe | None = environ.get(UPLOAD_KEY)
        response = self._respond(environ, upload)
        if upload is not None:
            # The rest of the body is discarded as it arrives.
            upload.fail("the request was answered")
        return finish_response(response, start_response)

    def _respond(self, environ: Environ, upload: Pipe | None) -> Response:
        service, path = _find_service(environ)
        if not service:
            return make_refusal(Refusal.BAD_REQUEST, "it names no service")
        incoming = _IncomingRequest(
            environ,
            service,
            path,
            self._rule_set().find(service),
            upload,
            self._clock.monotonic(),
        )
        inherited = verify_token(environ.get(_CONTEXT_ENVIRON_KEY, ""), self._node_key)
        if inherited is None:
            return self._start_root_call(incoming)
        return self._start_nested_call(incoming, inherited)

    def _start_root_call(self, incoming: _IncomingRequest) -> Response:
        caller = check_credential(find_bearer(incoming.environ), self._caller_key)
        if caller is None:
            return make_refusal(Refusal.UNAUTHENTICATED)
        decision = incoming.rules.decide(caller, incoming.method, incoming.path)
        # A service that calls without forwarding its context would multiply
        # attempts, so its calls get no allowance.
        is_service = bool(self._router.directory.find(caller))
        context = CallContext(
            root=incoming.request_id or uuid.uuid4().hex,
            caller=caller,
            importance=decision.importance,
            depth=0,
            allowance=0 if is_service else incoming.rules.extra_attempts,
        )
        return self._call(incoming, CallScope(context, incoming.deadline))

    def _start_nested_call(
        self, incoming: _IncomingRequest, context: CallContext
    ) -> Response:
        parent = self._execution.find_scope(context.dispatch)
        if parent is None and self._execution.is_own_dispatch(context.dispatch):
            # The parent call has ended, so the result would not be used.
            return _refuse_early(incoming, Refusal.CANCELLED, "its own call has ended")
        if parent is None:
            # The parent was dispatched on another VM, which holds its allowance.
            parent = CallScope(_inherit(context, 0), incoming.deadline)
        scope = parent.fork(incoming.deadline)
        scope.context = _inherit(context, scope.context.allowance)
        try:
            return self._call(incoming, scope)
        finally:
            parent.join(scope, self._clock.monotonic() - incoming.started_at)

    def _call(self, incoming: _IncomingRequest, scope: CallScope) -> Response:
        request = _build_request(incoming, scope)
        if isinstance(request, Refusal):
            return _refuse_early(incoming, request)
        upload = incoming.upload
        if upload is not None and not self._upload_slots.acquire(blocking=False):
            return _refuse_early(incoming, Refusal.OVERLOAD, "too many uploads")
        is_disconnected = incoming.environ.get("waitress.client_disconnected")
        self.disconnect_monitor.add(is_disconnected, scope)
        try:
            response = self._route(request, incoming.path, scope)
        finally:
            self.disconnect_monitor.remove(scope)
            if upload is not None:
                self._upload_slots.release()
        elapsed = self._clock.monotonic() - incoming.started_at
        self._metrics.count(self._service_label(incoming), request, response, elapsed)
        return response

    def _service_label(self, incoming: _IncomingRequest) -> str:
        # Callers can name any service; a time series per unknown name would make
        # the number of series unbounded.
        known = incoming.rules.team or self._router.directory.find(incoming.service)
        return incoming.service if known else _UNKNOWN_SERVICE

    def _route(self, request: Request, path: str, scope: CallScope) -> Response:
        if path == TICKET_PATH:
            return self._issue_ticket(request)
        if request.key:
            return self._keyed_router.call(request, scope)
        return self._router.call(request, scope)

    def _issue_ticket(self, request: Request) -> Response:
        ticket = self._keyed_router.mint(request)
        if isinstance(ticket, Refusal):
            return make_refusal(ticket)
        text = f"{format_ticket(ticket)}\n".encode()
        headers = (("Content-Type", "text/plain; charset=utf-8"),)
        return Response(200, headers, text, Outcome.DONE)


def _inherit(context: CallContext, allowance: int) -> CallContext:
    return CallContext(
        context.root, context.caller, context.importance, context.depth, allowance
    )


def _find_service(environ: Environ) -> tuple[str, str]:
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
    uri = environ.get("REQUEST_URI", "") or path
    query = environ.get("QUERY_STRING", "")
    suffix = f"?{query}" if query else ""
    service = environ.get(SERVICE_ENVIRON_KEY, "")
    raw_path = uri.partition("?")[0]
    if service:
        return service, raw_path + suffix
    first, _, rest = raw_path.lstrip("/").partition("/")
    return first, f"/{rest}{suffix}"


def _refuse_early(
    incoming: _IncomingRequest, refusal: Refusal, detail: str = ""
) -> Response:
    # Another copy under the same key may have run: its outcome has not been
    # looked up.
    if incoming.environ.get(_IDEMPOTENCY_ENVIRON_KEY):
        return make_unknown_response(refusal, detail)
    return make_refusal(refusal, detail)


def _build_request(incoming: _IncomingRequest, scope: CallScope) -> Request | Refusal:
    rules, upload = incoming.rules, incoming.upload
    decision = rules.decide(scope.context.caller, incoming.method, incoming.path)
    key = incoming.environ.get(_IDEMPOTENCY_ENVIRON_KEY, "")
    if decision.requires_key and not key:
        return Refusal.KEY_REQUIRED
    if len(key) > _MAX_NAME_CHARS:
        return Refusal.BAD_REQUEST
    body: bytes | Pipe = upload or incoming.environ["wsgi.input"].read()
    length = (body.length or 0) if isinstance(body, Pipe) else len(body)
    if length > rules.body_limit_bytes:
        return Refusal.BODY_TOO_LARGE
    return Request(
        service=incoming.service,
        method=incoming.method,
        path=incoming.path,
        headers=collect_headers(incoming.environ),
        body=body,
        context=scope.context,
        deadline=scope.deadline,
        request_id="" if scope.context.depth else incoming.request_id,
        key="" if decision.idempotent else key,
        idempotent=decision.idempotent,
    )
