"""Identifies a request by a fingerprint that is the same at every gateway."""

import hashlib
from typing import NewType

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
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (caller.encode(), method, target, body):
        # Each part is preceded by its length. Otherwise different divisions
        # of the same bytes into parts would have the same fingerprint.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
