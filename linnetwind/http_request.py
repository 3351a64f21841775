"""Authentication, parsing and validation of HTTP requests."""

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
from linnetwind.prompt_parts import PromptPart, shareable_parts

CHAT_PATH = '/v1/chat/completions'
MODEL_PREFIX = '/v1/'
SLOTS_PER_SERVICE = 64
BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4

_MAX_KEY_CHARACTERS = 255
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_NO_RETRY_AFTER = timedelta()
_DIGEST_BYTES = 16
_DEFAULT_MAX_TOKENS = 512
_MS = timedelta(milliseconds=1)
_CONSUMED_HEADERS = frozenset(
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
    """A request as received by the HTTP server."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Idempotency:
    """The identity of a request that has an idempotency key.

    `key` is the digest of customer, service and idempotency key, and `slot`
    is its part of the key space. `fingerprint` is the digest of the method,
    path, query and body, which detects reuse of a key for another request.
    """

    key: bytes
    slot: int
    fingerprint: bytes


@dataclass(frozen=True)
class CheckedRequest:
    """A valid request that may be routed.

    `tokens` is the largest number of tokens that the customer can be charged
    for it, the prompt and the longest response; `prompt_tokens` is the part
    of the prompt. `blocks` are the prefix hashes of the prompt's blocks, and
    `prompt_parts` its messages that other requests may share.
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
    prompt_parts: tuple[PromptPart, ...] = ()
    idempotency: Idempotency | None = None


Refusal = NotRun


def check_request(
    request: HttpRequest, base: Base, request_id: str
) -> Result[CheckedRequest, Refusal]:
    """Authenticate the customer, find the service, and validate a request.

    Args:
      request: The request.
      base: The configuration in force at this site.
      request_id: The ID of the request in the logs.

    Returns:
      The request, ready to be routed, or the reason for its refusal.
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
    if not key:
        # Without a key a caller is no customer, even if the digest of an empty
        # key is configured.
        return None
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
    max_tokens = parsed.get('max_tokens') or _DEFAULT_MAX_TOKENS
    prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN
    return Ok(
        CheckedRequest(
            request_id,
            customer,
            service,
            request.method,
            request.path,
            _forwarded_headers(request.headers),
            request.body,
            _timeout(request.headers, service),
            repeatable=True,
            streamed=bool(parsed.get('stream')),
            tokens=prompt_tokens + max_tokens,
            prompt_tokens=prompt_tokens,
            blocks=prompt_blocks(prompt),
            prompt_parts=_prompt_parts(service, parsed['messages']),
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
    if key is not None and not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        return _refuse(Reason.BAD_REQUEST)
    idempotency = None
    if key is not None and not repeatable:
        idempotency = _make_idempotency(request, customer, service, key)
    return Ok(
        CheckedRequest(
            request_id,
            customer,
            service,
            request.method,
            f'{path}?{request.query}' if request.query else path,
            _forwarded_headers(request.headers),
            request.body,
            _timeout(request.headers, service),
            repeatable=repeatable,
            tokens=1,
            prompt_tokens=1,
            idempotency=idempotency,
        )
    )


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Hash each complete block of a prompt together with all blocks before it.

    Args:
      prompt: The text of the prompt.

    Returns:
      One hash for each complete block of `BLOCK_CHARACTERS` characters.
    """
    running = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS]
        if len(block) == BLOCK_CHARACTERS:
            running.update(block.encode())
            blocks.append(running.intdigest())
    return tuple(blocks)


def _prompt_parts(
    service: Service, messages: list[Any]
) -> tuple[PromptPart, ...]:
    """Identify the messages of a prompt by digests, for one service."""
    prompt = tuple(
        _message_part(service, json.dumps(each, sort_keys=True))
        for each in messages
    )
    return shareable_parts(prompt)


def _message_part(service: Service, message: str) -> PromptPart:
    content = '\n'.join((service.name, message)).encode()
    digest = hashlib.blake2b(content, digest_size=_DIGEST_BYTES)
    return PromptPart(digest.hexdigest())


def _is_repeatable(service: Service, method: str, path: str) -> bool:
    if any(
        each.method == method and path.startswith(each.path_prefix)
        for each in service.unrepeatable
    ):
        return False
    # Calls that the configuration does not list are repeatable only if the
    # HTTP method is safe: in doubt, a call must not run twice.
    return method in _SAFE_METHODS


def _make_idempotency(
    request: HttpRequest, customer: Customer, service: Service, key: str
) -> Idempotency:
    identity = '\n'.join((customer.name, service.name, key)).encode()
    target = '\n'.join((request.method, request.path, request.query)).encode()
    digest = hashlib.sha256(identity).digest()
    fingerprint = hashlib.sha256(b'\n'.join((target, request.body))).digest()
    return Idempotency(
        digest[:_DIGEST_BYTES],
        digest[0] % SLOTS_PER_SERVICE,
        fingerprint[:_DIGEST_BYTES],
    )


def _parse_chat(body: bytes) -> dict[str, Any] | None:
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(parsed, dict):
        return None
    max_tokens = parsed.get('max_tokens')
    well_formed = (
        isinstance(parsed.get('model'), str)
        and isinstance(parsed.get('messages'), list)
        and (max_tokens is None or _is_positive_integer(max_tokens))
    )
    return parsed if well_formed else None


def _is_positive_integer(number: Any) -> bool:
    return isinstance(number, int) and number > 0


def _find_service(base: Base, name: str, kind: ServiceKind) -> Service | None:
    for service in base.services:
        if service.name == name and service.kind is kind:
            return service
    return None


def _forwarded_headers(headers: Mapping[str, str]) -> Headers:
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in _CONSUMED_HEADERS
    )


def _timeout(headers: Mapping[str, str], service: Service) -> timedelta:
    max_timeout = timedelta(seconds=service.timeout_seconds)
    deadline_ms = headers.get('x-deadline-ms', '')
    if deadline_ms.isdecimal():
        return min(max_timeout, int(deadline_ms) * _MS)
    return max_timeout


def _refuse(reason: Reason) -> Result[CheckedRequest, Refusal]:
    return Err(NotRun(reason, _NO_RETRY_AFTER))
