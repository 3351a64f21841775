"""The callers' HTTP interface as a WSGI application."""

import json
import threading
import uuid
from collections.abc import Callable, Iterable, Iterator, Mapping
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from loguru import logger
from result import Err, Ok

from linnetwind.config import ServiceKind
from linnetwind.decision_log import log_decision
from linnetwind.dispatch import Dispatcher
from linnetwind.entry_metrics import EntryMetrics
from linnetwind.fleet import Fleet
from linnetwind.http_request import (
    CHARACTERS_PER_TOKEN,
    CheckedRequest,
    HttpRequest,
    check_request,
)
from linnetwind.in_flight_call import InterruptedResponse, OpenResponse
from linnetwind.outcome import NotRun, Reason, Unknown

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Admit = Callable[[CheckedRequest], NotRun | None]
Settle = Callable[[CheckedRequest, int], None]

_EVENT_START = b'data: '
_JSON = 'application/json'
_SECOND = timedelta(seconds=1)

_STATUS_BY_REASON: Mapping[Reason, HTTPStatus] = MappingProxyType(
    {
        Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_CUSTOMER: HTTPStatus.UNAUTHORIZED,
        Reason.CUSTOMER_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
        Reason.IN_PROGRESS: HTTPStatus.CONFLICT,
        Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        Reason.RAN_BEFORE: HTTPStatus.CONFLICT,
    }
)


class EntryApp:
    """Serves callers and counts requests in flight for graceful shutdown."""

    def __init__(
        self,
        fleet: Fleet,
        dispatcher: Dispatcher,
        metrics: EntryMetrics,
        admit: Admit,
        settle: Settle,
    ) -> None:
        """Create the application, ready to serve.

        Args:
          fleet: The fleet, which holds the configuration in force.
          dispatcher: The dispatcher that runs requests.
          metrics: The metrics that count requests.
          admit: Checks the limits of a customer before a request runs.
          settle: Called after a request with the tokens that it has used.
        """
        self._fleet = fleet
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._admit = admit
        self._settle = settle
        self._lock = threading.Lock()
        self._in_flight = 0
        self._draining = False
        self._refusing = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a complete response yet."""
        return self._in_flight

    @property
    def is_draining(self) -> bool:
        """Return whether callers should send further requests elsewhere."""
        return self._draining

    def drain(self) -> None:
        """Fail the readiness check from now on."""
        self._draining = True

    def refuse_new(self) -> None:
        """Refuse new requests from now on, with the outcome "not run"."""
        self._refusing = True

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve a request; this is the WSGI entry point.

        Args:
          environ: The WSGI environment of the request.
          start_response: The WSGI function for the status and headers.

        Returns:
          The response body.
        """
        path = environ['PATH_INFO']
        if path == '/healthz':
            return _json_response(
                start_response, HTTPStatus.OK, {'alive': True}
            )
        if path == '/readyz':
            return self._readiness_response(start_response)
        with self._lock:
            self._in_flight += 1
        return _TrackedBody(
            self._serve(environ, start_response), self._decrement_in_flight
        )

    def _decrement_in_flight(self) -> None:
        with self._lock:
            self._in_flight -= 1

    def _readiness_response(
        self, start_response: StartResponse
    ) -> Iterable[bytes]:
        ready = self._fleet.base is not None and not self._draining
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _json_response(start_response, status, {'ready': ready})

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        request_id = uuid.uuid4().hex
        if self._refusing:
            stopping = NotRun(Reason.SHUTTING_DOWN, _SECOND)
            yield self._error_response(start_response, request_id, stopping)
            return
        checked = self._check(environ, request_id)
        if isinstance(checked, NotRun):
            yield self._error_response(start_response, request_id, checked)
            return
        refusal = self._admit(checked)
        if refusal is not None:
            yield self._error_response(start_response, request_id, refusal)
            return
        opened = self._open(checked)
        if isinstance(opened, OpenResponse):
            yield from self._relay(start_response, checked, opened)
        else:
            self._settle(checked, 0)
            yield self._error_response(start_response, request_id, opened)

    def _open(self, checked: CheckedRequest) -> OpenResponse | NotRun | Unknown:
        try:
            return self._dispatcher.open(checked)
        except Exception:
            # The caller must get a typed error even after a bug in this
            # program: from an untyped response it could not tell whether the
            # request may have run.
            logger.exception('request {} failed', checked.request_id)
            return Unknown(Reason.INTERNAL)

    def _check(
        self, environ: dict[str, Any], request_id: str
    ) -> CheckedRequest | NotRun:
        base = self._fleet.base
        if base is None:
            return NotRun(Reason.NO_CONFIGURATION, _SECOND)
        request = HttpRequest(
            environ['REQUEST_METHOD'],
            environ['PATH_INFO'],
            environ.get('QUERY_STRING', ''),
            _headers(environ),
            environ['wsgi.input'].read(),
        )
        match check_request(request, base, request_id):
            case Ok(checked):
                return checked
            case Err(refusal):
                return refusal

    def _relay(
        self,
        start_response: StartResponse,
        checked: CheckedRequest,
        opened: OpenResponse,
    ) -> Iterator[bytes]:
        headers = [*opened.headers, ('X-Request-Id', checked.request_id)]
        start_response(_status_line(opened.status), headers)
        tokens = checked.prompt_tokens
        try:
            for body in opened.body:
                tokens += _generated_tokens(checked, body)
                yield body
        except InterruptedResponse as broken:
            self._record_failure(checked.request_id, broken.outcome)
            if checked.streamed:
                yield _error_event(checked.request_id, broken.outcome)
            # The exception makes the server omit the final chunk of the
            # body, so that the caller can't mistake the partial response for
            # a complete one.
            raise
        else:
            self._metrics.record_answered(checked.service.name)
        finally:
            self._settle(checked, tokens)

    def _error_response(
        self,
        start_response: StartResponse,
        request_id: str,
        outcome: NotRun | Unknown,
    ) -> bytes:
        self._record_failure(request_id, outcome)
        body = json.dumps(_error_body(request_id, outcome)).encode()
        headers = [
            ('Content-Type', _JSON),
            ('Content-Length', str(len(body))),
            ('X-Request-Id', request_id),
        ]
        if isinstance(outcome, NotRun) and outcome.retry_after:
            seconds = -(-outcome.retry_after // _SECOND)
            headers.append(('Retry-After', str(seconds)))
        status = _http_status(outcome)
        start_response(_status_line(status), headers)
        return body

    def _record_failure(
        self, request_id: str, outcome: NotRun | Unknown
    ) -> None:
        self._metrics.record_failed(type(outcome).__name__, outcome.reason)
        log_decision(
            'gave_up',
            {
                'request': request_id,
                'outcome': type(outcome).__name__,
                'reason': outcome.reason,
            },
        )


class _TrackedBody:
    """A response body that calls a function once when it is closed."""

    def __init__(
        self, body: Iterator[bytes], on_close: Callable[[], None]
    ) -> None:
        self._body = body
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        return self._body

    def close(self) -> None:
        """Report the end of the request; called by the WSGI server."""
        try:
            self._body.close()  # type: ignore[attr-defined]
        finally:
            on_close = self._on_close
            self._on_close = None
            if on_close is not None:
                on_close()


def _generated_tokens(checked: CheckedRequest, body: bytes) -> int:
    if checked.service.kind is not ServiceKind.MODEL:
        return 0
    if checked.streamed:
        return body.count(_EVENT_START)
    return len(body) // CHARACTERS_PER_TOKEN


def _headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        headers['content-type'] = environ['CONTENT_TYPE']
    return headers


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unknown'


def _http_status(outcome: NotRun | Unknown) -> HTTPStatus:
    match outcome:
        case NotRun(reason=reason):
            return _STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
        case Unknown(Reason.RAN_BEFORE):
            return HTTPStatus.CONFLICT
        case Unknown():
            return HTTPStatus.BAD_GATEWAY


def _error_body(request_id: str, outcome: NotRun | Unknown) -> dict[str, Any]:
    error: dict[str, Any] = {
        'type': str(outcome.reason),
        'request_id': request_id,
        'ran': 'no' if isinstance(outcome, NotRun) else 'unknown',
    }
    if isinstance(outcome, NotRun) and outcome.retry_after:
        error['retry_after_ms'] = outcome.retry_after // timedelta(
            milliseconds=1
        )
    return {'error': error}


def _error_event(request_id: str, outcome: NotRun | Unknown) -> bytes:
    text = json.dumps(_error_body(request_id, outcome))
    return f'event: error\ndata: {text}\n\n'.encode()


def _json_response(
    start_response: StartResponse, status: HTTPStatus, facts: dict[str, Any]
) -> Iterable[bytes]:
    body = json.dumps(facts).encode()
    headers = [('Content-Type', _JSON), ('Content-Length', str(len(body)))]
    start_response(_status_line(status), headers)
    return [body]
