"""What makes two requests the same one, through whichever gateway they come."""

import hashlib
from typing import NewType

from linnetwind.call_types import CallerRequest

# Names what was asked and by whom; 16 hexadecimal digits.
Fingerprint = NewType('Fingerprint', str)

# Two of a million different requests share 64 bits once in 37 million times.
_DIGEST_BYTES = 8


def fingerprint_request(request: CallerRequest, caller: str) -> Fingerprint:
    """Return what all tries of one request have in common.

    Headers are left out: each try has an id and a time limit of its own.

    Args:
      request: A caller's request.
      caller: Who asks: a customer's name, empty for an anonymous caller.

    Returns:
      The fingerprint.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (caller.encode(), request.method, request.target, request.body):
        # The length goes first, so that no part can pass for the end of the
        # one before it.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
