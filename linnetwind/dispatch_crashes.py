"""Which requests an entry daemon does not send on, for crashes under them."""

from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from itertools import count

from linnetwind.call_run import BrokenAnswer, OpenAnswer
from linnetwind.clock import Clock
from linnetwind.crashes import Crashes
from linnetwind.decisions import log_decision
from linnetwind.fingerprint import Fingerprint, fingerprint_request
from linnetwind.http_request import CheckedRequest
from linnetwind.lives import Life
from linnetwind.outcome import NotRun, Reason, Unknown

_FIRST_FAILURE = 400


class DispatchCrashes:
    """One daemon's book; entry daemons do not tell each other."""

    def __init__(self, clock: Clock) -> None:
        """Start with an empty book.

        Args:
          clock: For the ends of quarantines.
        """
        self._crashes = Crashes(clock)
        # Sides do not say which life of an upstream crashed, so each crash
        # gets a name of its own here.
        self._numbers = count()

    def refusal(self, request: CheckedRequest) -> NotRun | None:
        """Return the refusal of a request that must not be sent on.

        Args:
          request: The request.

        Returns:
          The refusal with the time that is left, None if it may be sent.
        """
        if not self._crashes.any_known:
            return None
        left = self._crashes.quarantine(_fingerprint(request))
        return None if left is None else NotRun(Reason.QUARANTINED, left)

    def note(
        self,
        request: CheckedRequest,
        began: timedelta,
        outcome: NotRun | Unknown,
    ) -> None:
        """Take note of an attempt without a whole answer.

        Args:
          request: The request.
          began: The monotonic time at which it was sent.
          outcome: What came of it.
        """
        if outcome.reason is not Reason.UPSTREAM_CRASHED:
            return
        fingerprint = _fingerprint(request)
        crash = Life(f'crash-{next(self._numbers)}')
        left = self._crashes.note(fingerprint, crash, began)
        log_decision(
            'upstream_crashed',
            {
                'request': request.request_id,
                'fingerprint': fingerprint,
                'quarantine': '' if left is None else str(left),
            },
        )

    def watch(
        self, request: CheckedRequest, began: timedelta, opened: OpenAnswer
    ) -> OpenAnswer:
        """Return an open answer whose end is taken note of.

        Args:
          request: The request.
          began: The monotonic time at which it was sent.
          opened: Its answer.

        Returns:
          The same answer.
        """
        return replace(opened, body=self._watched(request, began, opened))

    def _watched(
        self, request: CheckedRequest, began: timedelta, opened: OpenAnswer
    ) -> Iterator[bytes]:
        try:
            yield from opened.body
        except BrokenAnswer as broken:
            self.note(request, began, broken.outcome)
            raise
        if self._crashes.any_known and opened.status < _FIRST_FAILURE:
            self._crashes.answer(_fingerprint(request))


def _fingerprint(request: CheckedRequest) -> Fingerprint:
    target = ' '.join((request.service.name, request.path))
    return fingerprint_request(
        request.customer.name,
        request.method.encode(),
        target.encode(),
        request.body,
    )
