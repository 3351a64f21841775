"""Reads and writes the platform's headers of requests and responses."""

import re
from datetime import timedelta

from linnetwind.call_types import (
    CallerRequest,
    Forwarding,
    Headers,
    RequestFacts,
    ResponseFacts,
    TokenCounts,
)
from linnetwind.prompt_parts import PromptPart, shareable_parts

_CALL_ID = b'attempt-id'
_TIME_LIMIT = b'deadline-ms'
_TOKEN_COUNT = b'token-count'
_PROMPT_PREFIX = b'prompt-prefix'
_LAST_EVENT = b'last-event-id'
_AUTHORIZATION = b'authorization'
_BEARER_PREFIX = 'bearer '
_INSTANCE = b'expect-instance'
_CUSTOMER = b'tenant'
_SEAL = b'response-seal'
_NOT_EXECUTED = b'not-executed'
_RESPONDING_INSTANCE = b'instance-id'
_MAX_REQUESTS = b'server-limit'
_BACKOFF = b'retry-after'
_LEAVING = b'server-leaving'
_LEAVING_VALUE = '1'
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
_MISDIRECTED_REQUEST = 421
_SERVICE_UNAVAILABLE = 503

# Hop-by-hop headers and headers that frame a body; none is forwarded.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
# Headers of requests that the gateway sets itself or does not forward.
_GATEWAY_ONLY = frozenset(
    (
        _TIME_LIMIT,
        _AUTHORIZATION,
        _INSTANCE,
        _CUSTOMER,
        b'expect-version',
        b'request-priority',
    )
)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_call(self, request: CallerRequest) -> RequestFacts:
        """Read the facts about a request from its target and headers.

        Args:
          request: A caller's request.

        Returns:
          The facts. A value that is absent or malformed is None or empty.
        """
        by_name = _by_name(request.headers)
        limit_ms = _parse_integer(by_name.get(_TIME_LIMIT))
        prompt = _parse_prompt(_decode_text(by_name.get(_PROMPT_PREFIX)))
        path = request.target.partition(b'?')[0]
        return RequestFacts(
            call_id=_decode_text(by_name.get(_CALL_ID)),
            host=_decode_text(by_name.get(b'host')),
            path=path.decode('latin-1'),
            time_limit=None
            if limit_ms is None
            else timedelta(milliseconds=limit_ms),
            api_key=_parse_api_key(_decode_text(by_name.get(_AUTHORIZATION))),
            tokens=_parse_token_counts(_decode_text(by_name.get(_TOKEN_COUNT))),
            subject=prompt[-1],
            prompt_parts=shareable_parts(prompt),
        )

    def write_forward(
        self, request: CallerRequest, forwarding: Forwarding
    ) -> Headers:
        """Return the headers of a request to an upstream.

        Args:
          request: A caller's request.
          forwarding: The values of the headers that the gateway adds.

        Returns:
          The caller's headers without the hop-by-hop ones and without those
          that only the gateway may set, and the headers that it adds.
        """
        drop = (
            _HOP_BY_HOP | _GATEWAY_ONLY | _listed_in_connection(request.headers)
        )
        if forwarding.resume_after is not None:
            drop |= {_LAST_EVENT}
        forwarded = [
            each for each in request.headers if each[0].lower() not in drop
        ]
        left_ms = max(1, int(forwarding.time_left / timedelta(milliseconds=1)))
        forwarded.append((b'Deadline-Ms', str(left_ms).encode()))
        forwarded.append((b'Expect-Instance', forwarding.instance.encode()))
        if forwarding.customer is not None:
            forwarded.append((b'Tenant', forwarding.customer.encode()))
        if forwarding.resume_after is not None:
            last_event = str(forwarding.resume_after).encode()
            forwarded.append((b'Last-Event-Id', last_event))
        return tuple(forwarded)

    def read_response(self, status: int, headers: Headers) -> ResponseFacts:
        """Read the facts about a response from its status and headers.

        Args:
          status: The HTTP status.
          headers: The upstream's headers.

        Returns:
          The facts. A number that is absent or malformed is None.
        """
        by_name = _by_name(headers)
        call_id = by_name.get(_CALL_ID)
        return ResponseFacts(
            signed=_SEAL in by_name,
            call_id=None if call_id is None else _decode_text(call_id),
            not_executed=_NOT_EXECUTED in by_name,
            misdirected=status == _MISDIRECTED_REQUEST,
            instance=_decode_text(by_name.get(_RESPONDING_INSTANCE)) or None,
            max_per_s=_parse_decimal(_decode_text(by_name.get(_MAX_REQUESTS))),
            backoff=_parse_backoff(status, _decode_text(by_name.get(_BACKOFF))),
            leaving=_decode_text(by_name.get(_LEAVING)) == _LEAVING_VALUE,
        )

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of a response that are sent to the caller.

        Args:
          headers: The upstream's headers.

        Returns:
          The headers without the hop-by-hop ones.
        """
        drop = _HOP_BY_HOP | _listed_in_connection(headers)
        return tuple(each for each in headers if each[0].lower() not in drop)


def _by_name(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): content for name, content in headers}


def _listed_in_connection(headers: Headers) -> frozenset[bytes]:
    """Return the hop-by-hop headers that `Connection` lists."""
    listed = _by_name(headers).get(b'connection', b'')
    return frozenset(each.strip().lower() for each in listed.split(b','))


def _decode_text(content: bytes | None) -> str:
    return (content or b'').decode('latin-1').strip()


def _parse_integer(content: bytes | None) -> int | None:
    text = _decode_text(content)
    return int(text) if text.isdigit() else None


def _parse_decimal(text: str) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None


def _parse_backoff(status: int, text: str) -> timedelta | None:
    seconds = _parse_decimal(text) if status == _SERVICE_UNAVAILABLE else None
    return None if seconds is None else timedelta(seconds=seconds)


def _parse_api_key(text: str) -> str | None:
    if text.lower().startswith(_BEARER_PREFIX):
        return text[len(_BEARER_PREFIX) :].strip()
    return None


def _parse_token_counts(text: str) -> TokenCounts | None:
    prompt, _comma, answer = text.partition(',')
    if prompt.isdigit() and answer.isdigit():
        return TokenCounts(int(prompt), int(answer))
    return None


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    """Return the ids of a prompt's parts; the last is the session's own."""
    return tuple(
        PromptPart(part.partition(':')[0].strip()) for part in text.split(',')
    )
