"""From an HTTP request to a checked request, as pure functions."""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import xxhash
from result import Err, Ok, Result

from linnetwind.config import Base, Customer, Service, ServiceKind
from linnetwind.messages import Headers
from linnetwind.outcome import NotRun, Reason

CHAT_PATH = '/v1/chat/completions'
MODEL_PREFIX = '/v1/'
SLOTS = 64
BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4

_MOST_KEY_CHARACTERS = 255
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_NO_WAIT = timedelta()
_DIGEST_BYTES = 16
_DEFAULT_MAX_TOKENS = 512
_MS = timedelta(milliseconds=1)
_OWN_HEADERS = frozenset(
    (
        'authorization',
        'x-api-key',
        'x-deadline-ms',
        'x-request-id',
        'x-priority',
        'x-resume-from',
    )
)


@dataclass(frozen=True)
class HttpRequest:
    """A request as the HTTP server has read it."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Idempotency:
    """The identity that the caller gave to a request.

    `key` is the digest of customer, service and key; `slot` the part of the
    key space. `fingerprint` is the digest of what was asked.
    """

    key: bytes
    slot: int
    fingerprint: bytes


@dataclass(frozen=True)
class CheckedRequest:
    """A request that may be routed.

    `tokens` is the most that it can cost a customer, the prompt and the
    longest answer; `prompt_tokens` the prompt's part. `blocks` are the
    running hashes of its prompt's blocks.
    """

    request_id: str
    customer: Customer
    service: Service
    method: str
    path: str
    headers: Headers
    body: bytes
    timeout: timedelta
    repeatable: bool
    streamed: bool = False
    tokens: int = 0
    prompt_tokens: int = 0
    blocks: tuple[int, ...] = ()
    idempotency: Idempotency | None = None


Refusal = NotRun


def check_request(
    request: HttpRequest, base: Base, request_id: str
) -> Result[CheckedRequest, Refusal]:
    """Find the customer and the service, and check the request.

    Args:
      request: The request.
      base: The configuration in force at this site.
      request_id: The id for the logs.

    Returns:
      The request, ready to be routed, or why it is refused.
    """
    customer = _find_customer(request.headers, base)
    if customer is None:
        return _refuse(Reason.UNKNOWN_CUSTOMER)
    if request.path.startswith(MODEL_PREFIX):
        return _check_chat(request, base, customer, request_id)
    return _check_plain(request, base, customer, request_id)


def _find_customer(headers: Mapping[str, str], base: Base) -> Customer | None:
    bearer = headers.get('authorization', '').removeprefix('Bearer ')
    key = headers.get('x-api-key') or bearer
    digest = hashlib.sha256(key.encode()).hexdigest()
    for customer in base.customers:
        if customer.key_sha256 == digest:
            return customer
    return None


def _check_chat(
    request: HttpRequest, base: Base, customer: Customer, request_id: str
) -> Result[CheckedRequest, Refusal]:
    parsed = _parse_chat(request.body)
    if parsed is None or request.path != CHAT_PATH:
        return _refuse(Reason.BAD_REQUEST)
    service = _find_service(base, parsed['model'], ServiceKind.MODEL)
    if service is None:
        return _refuse(Reason.UNKNOWN_SERVICE)
    if len(request.body) > service.max_body_bytes:
        return _refuse(Reason.TOO_LARGE)
    prompt = json.dumps(parsed['messages'], sort_keys=True)
    longest = parsed.get('max_tokens') or _DEFAULT_MAX_TOKENS
    prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN
    return Ok(
        CheckedRequest(
            request_id,
            customer,
            service,
            request.method,
            request.path,
            _passed_headers(request.headers),
            request.body,
            _timeout(request.headers, service),
            repeatable=True,
            streamed=bool(parsed.get('stream')),
            tokens=prompt_tokens + longest,
            prompt_tokens=prompt_tokens,
            blocks=prompt_blocks(prompt),
        )
    )


def _check_plain(
    request: HttpRequest, base: Base, customer: Customer, request_id: str
) -> Result[CheckedRequest, Refusal]:
    name, separator, rest = request.path.lstrip('/').partition('/')
    service = _find_service(base, name, ServiceKind.PLAIN)
    if service is None or not separator:
        return _refuse(Reason.UNKNOWN_SERVICE)
    if len(request.body) > service.max_body_bytes:
        return _refuse(Reason.TOO_LARGE)
    path = f'/{rest}'
    repeatable = _is_repeatable(service, request.method, path)
    key = request.headers.get('idempotency-key')
    if key is not None and not 0 < len(key) <= _MOST_KEY_CHARACTERS:
        return _refuse(Reason.BAD_REQUEST)
    idempotency = None
    if key is not None and not repeatable:
        idempotency = _identify(request, customer, service, key)
    return Ok(
        CheckedRequest(
            request_id,
            customer,
            service,
            request.method,
            f'{path}?{request.query}' if request.query else path,
            _passed_headers(request.headers),
            request.body,
            _timeout(request.headers, service),
            repeatable=repeatable,
            tokens=1,
            prompt_tokens=1,
            idempotency=idempotency,
        )
    )


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Hash a prompt's whole blocks, each together with all before it.

    Args:
      prompt: The prompt's text.

    Returns:
      One hash for each whole block of `BLOCK_CHARACTERS` characters.
    """
    running = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        if len(block) == BLOCK_CHARACTERS:
            running.update(block.encode())
            blocks.append(running.intdigest())
    return tuple(blocks)


def _is_repeatable(service: Service, method: str, path: str) -> bool:
    if any(
        each.method == method and path.startswith(each.path_prefix)
        for each in service.unrepeatable
    ):
        return False
    # What the configuration does not name is judged by the HTTP method, and
    # in doubt is never run twice.
    return method in _SAFE_METHODS


def _identify(
    request: HttpRequest, customer: Customer, service: Service, key: str
) -> Idempotency:
    identity = '\n'.join((customer.name, service.name, key)).encode()
    asked = '\n'.join((request.method, request.path, request.query)).encode()
    digest = hashlib.sha256(identity).digest()
    fingerprint = hashlib.sha256(b'\n'.join((asked, request.body))).digest()
    return Idempotency(
        digest[:_DIGEST_BYTES],
        digest[0] % SLOTS,
        fingerprint[:_DIGEST_BYTES],
    )


def _parse_chat(body: bytes) -> dict[str, Any] | None:
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(parsed, dict):
        return None
    longest = parsed.get('max_tokens')
    well_formed = (
        isinstance(parsed.get('model'), str)
        and isinstance(parsed.get('messages'), list)
        and (longest is None or _is_count(longest))
    )
    return parsed if well_formed else None


def _is_count(number: Any) -> bool:
    return isinstance(number, int) and number > 0


def _find_service(base: Base, name: str, kind: ServiceKind) -> Service | None:
    for service in base.services:
        if service.name == name and service.kind is kind:
            return service
    return None


def _passed_headers(headers: Mapping[str, str]) -> Headers:
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in _OWN_HEADERS
    )


def _timeout(headers: Mapping[str, str], service: Service) -> timedelta:
    longest = timedelta(seconds=service.timeout_seconds)
    asked = headers.get('x-deadline-ms', '')
    if asked.isdecimal():
        return min(longest, int(asked) * _MS)
    return longest


def _refuse(reason: Reason) -> Result[CheckedRequest, Refusal]:
    return Err(NotRun(reason, _NO_WAIT))
