"""What makes two requests the same one, through whichever gateway they come."""

import hashlib
from typing import NewType

# Names what was asked and by whom; 16 hexadecimal digits.
Fingerprint = NewType('Fingerprint', str)

# Two of a million different requests share 64 bits once in 37 million times.
_DIGEST_BYTES = 8
_LENGTH_BYTES = 8


def fingerprint_request(
    caller: str, method: bytes, target: bytes, body: bytes
) -> Fingerprint:
    """Return what all tries of one request have in common.

    Headers are left out: each try has an id and a time limit of its own.

    Args:
      caller: Who asks: a customer's name, empty for an anonymous caller.
      method: The request's method.
      target: Its path and query.
      body: Its body.

    Returns:
      The fingerprint.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (caller.encode(), method, target, body):
        # The length goes first, so that no part can pass for the end of the
        # one before it.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
