"""Identifies requests by fingerprints that are the same at every gateway."""

import hashlib
from collections.abc import Iterable
from typing import NewType

from linnetwind.prompt_parts import PromptPart

# A hash of a request and its customer, as 16 hexadecimal digits.
Fingerprint = NewType('Fingerprint', str)

# 64 bits: among a million different requests, the probability that any two
# have the same fingerprint is 1 in 37 million.
_DIGEST_BYTES = 8
_LENGTH_BYTES = 8


def fingerprint_request(
    caller: str, method: bytes, target: bytes, body: bytes
) -> Fingerprint:
    """Return the fingerprint that all retries of a request share.

    Headers are excluded, because each retry has its own id and time limit.

    Args:
      caller: The customer's name, empty for an anonymous caller.
      method: The request's method.
      target: Its path and query.
      body: Its body.

    Returns:
      The fingerprint.
    """
    return _digest((caller.encode(), method, target, body))


def fingerprint_parts(parts: Iterable[PromptPart]) -> Fingerprint:
    """Return the fingerprint of a set of prompt parts.

    Args:
      parts: The parts, in any order.

    Returns:
      The fingerprint.
    """
    return _digest(part.encode() for part in sorted(parts))


def _digest(parts: Iterable[bytes]) -> Fingerprint:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        # Each part is preceded by its length. Otherwise different divisions
        # of the same bytes into parts would have the same fingerprint.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
