"""The platform's headers of requests and answers, as the project's types."""

import re
from datetime import timedelta

from linnetwind.call_types import (
    AnswerFacts,
    CallerRequest,
    CallFacts,
    Forwarding,
    Headers,
    TokenCounts,
)

_CALL_ID = b'attempt-id'
_TIME_LIMIT = b'deadline-ms'
_TOKENS = b'token-count'
_PROMPT_PARTS = b'prompt-prefix'
_LAST_EVENT = b'last-event-id'
_KEY = b'authorization'
_KEY_SCHEME = 'bearer '
_INSTANCE = b'expect-instance'
_CUSTOMER = b'tenant'
_SIGNATURE = b'response-seal'
_NOT_RUN = b'not-executed'
_ANSWERED_BY = b'instance-id'
_MOST_REQUESTS = b'server-limit'
_BACKOFF = b'retry-after'
_LEAVING = b'server-leaving'
_LEAVES = '1'
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
_MISDIRECTED = 421
_REFUSED = 503

# Headers that concern one connection only, or frame a body.
_CONNECTION_ONLY = frozenset(
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
# What the gateway sets itself, or keeps to itself.
_OWN = frozenset(
    (
        _TIME_LIMIT,
        _KEY,
        _INSTANCE,
        _CUSTOMER,
        b'expect-version',
        b'request-priority',
    )
)


class PlatformDialect:
    """Reads and writes the platform's headers."""

    def read_call(self, request: CallerRequest) -> CallFacts:
        """Return what a request's headers say.

        Args:
          request: A caller's request.

        Returns:
          The facts; what is missing or not a number is None or empty.
        """
        named = _by_name(request.headers)
        limit = _number(named.get(_TIME_LIMIT))
        path = request.target.partition(b'?')[0]
        return CallFacts(
            call_id=_text(named.get(_CALL_ID)),
            host=_text(named.get(b'host')),
            path=path.decode('latin-1'),
            time_limit=None if limit is None else timedelta(milliseconds=limit),
            api_key=_key(_text(named.get(_KEY))),
            tokens=_tokens(_text(named.get(_TOKENS))),
            subject=_subject(_text(named.get(_PROMPT_PARTS))),
        )

    def write_forward(
        self, request: CallerRequest, forwarding: Forwarding
    ) -> Headers:
        """Return the headers with which a request goes to an upstream.

        Args:
          request: A caller's request.
          forwarding: What the gateway adds.

        Returns:
          The caller's headers, but for those of its connection and those
          that are the gateway's own to set.
        """
        drop = _CONNECTION_ONLY | _OWN | _named_in_connection(request.headers)
        if forwarding.resume_after is not None:
            drop |= {_LAST_EVENT}
        kept = [each for each in request.headers if each[0].lower() not in drop]
        left = max(1, int(forwarding.time_left / timedelta(milliseconds=1)))
        kept.append((b'Deadline-Ms', str(left).encode()))
        kept.append((b'Expect-Instance', forwarding.instance.encode()))
        if forwarding.customer is not None:
            kept.append((b'Tenant', forwarding.customer.encode()))
        if forwarding.resume_after is not None:
            last = str(forwarding.resume_after).encode()
            kept.append((b'Last-Event-Id', last))
        return tuple(kept)

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what an answer's head says.

        Args:
          status: The status.
          headers: The headers.

        Returns:
          The facts.
        """
        named = _by_name(headers)
        call_id = named.get(_CALL_ID)
        return AnswerFacts(
            signed=_SIGNATURE in named,
            call_id=None if call_id is None else _text(call_id),
            not_executed=_NOT_RUN in named,
            misdirected=status == _MISDIRECTED,
            instance=_text(named.get(_ANSWERED_BY)) or None,
            most_per_s=_decimal(_text(named.get(_MOST_REQUESTS))),
            backoff=_backoff(status, _text(named.get(_BACKOFF))),
            leaving=_text(named.get(_LEAVING)) == _LEAVES,
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that go on to the caller.

        Args:
          headers: The upstream's headers.

        Returns:
          All but those of the upstream's connection.
        """
        drop = _CONNECTION_ONLY | _named_in_connection(headers)
        return tuple(each for each in headers if each[0].lower() not in drop)


def _by_name(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): content for name, content in headers}


def _named_in_connection(headers: Headers) -> frozenset[bytes]:
    """Return the headers that `Connection` names as its own."""
    named = _by_name(headers).get(b'connection', b'')
    return frozenset(each.strip().lower() for each in named.split(b','))


def _text(content: bytes | None) -> str:
    return (content or b'').decode('latin-1').strip()


def _number(content: bytes | None) -> int | None:
    text = _text(content)
    return int(text) if text.isdigit() else None


def _decimal(text: str) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None


def _backoff(status: int, text: str) -> timedelta | None:
    seconds = _decimal(text) if status == _REFUSED else None
    return None if seconds is None else timedelta(seconds=seconds)


def _key(text: str) -> str | None:
    if text.lower().startswith(_KEY_SCHEME):
        return text[len(_KEY_SCHEME) :].strip()
    return None


def _tokens(text: str) -> TokenCounts | None:
    prompt, _comma, answer = text.partition(',')
    if prompt.isdigit() and answer.isdigit():
        return TokenCounts(int(prompt), int(answer))
    return None


def _subject(text: str) -> str:
    """Return the id of a prompt's last part, which is the session's own."""
    return text.rpartition(',')[2].partition(':')[0]
