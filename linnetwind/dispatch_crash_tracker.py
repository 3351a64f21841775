"""Quarantine of requests that crash upstreams, in an entry daemon."""

from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from itertools import count

from linnetwind.clock import Clock
from linnetwind.crash_tracker import CrashTracker
from linnetwind.decision_log import log_decision
from linnetwind.fingerprint import Fingerprint, fingerprint_request
from linnetwind.http_request import CheckedRequest
from linnetwind.in_flight_call import InterruptedResponse, OpenResponse
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.upstream_incarnation import UpstreamIncarnation

_FIRST_FAILURE = 400


class DispatchCrashTracker:
    """Tracks the crashes under one entry daemon's requests.

    Entry daemons do not advertise crashes to each other.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with an empty history.

        Args:
          clock: Gives the times of crashes and the ends of quarantines.
        """
        self._crashes = CrashTracker(clock)
        # Side daemons do not report which incarnation of an upstream crashed,
        # so every crash gets an incarnation name of its own.
        self._crash_numbers = count()

    def refusal(self, request: CheckedRequest) -> NotRun | None:
        """Return the refusal of a request that is in quarantine.

        Args:
          request: The request.

        Returns:
          The refusal with the remaining time, None if it may be sent.
        """
        if not self._crashes.has_crashes:
            return None
        remaining = self._crashes.quarantine(_fingerprint(request))
        return (
            None if remaining is None else NotRun(Reason.QUARANTINED, remaining)
        )

    def record_crash(
        self,
        request: CheckedRequest,
        began: timedelta,
        outcome: NotRun | Unknown,
    ) -> None:
        """Record the crash, if any, behind an attempt that failed.

        Args:
          request: The request.
          began: The monotonic time at which it was sent.
          outcome: Why there is no complete response.
        """
        if outcome.reason is not Reason.UPSTREAM_CRASHED:
            return
        fingerprint = _fingerprint(request)
        crash = UpstreamIncarnation(f'crash-{next(self._crash_numbers)}')
        remaining = self._crashes.record_crash(fingerprint, crash, began)
        log_decision(
            'upstream_crashed',
            {
                'request': request.request_id,
                'fingerprint': fingerprint,
                'quarantine': '' if remaining is None else str(remaining),
            },
        )

    def track_answer(
        self, request: CheckedRequest, began: timedelta, opened: OpenResponse
    ) -> OpenResponse:
        """Wrap a response so that its end is recorded.

        Args:
          request: The request.
          began: The monotonic time at which it was sent.
          opened: Its response, whose body has not been read.

        Returns:
          The same response. When its body has been read, a crash or a
          successful answer is recorded.
        """
        return replace(opened, body=self._tracked(request, began, opened))

    def _tracked(
        self, request: CheckedRequest, began: timedelta, opened: OpenResponse
    ) -> Iterator[bytes]:
        try:
            yield from opened.body
        except InterruptedResponse as broken:
            self.record_crash(request, began, broken.outcome)
            raise
        if self._crashes.has_crashes and opened.status < _FIRST_FAILURE:
            self._crashes.record_answer(_fingerprint(request))


def _fingerprint(request: CheckedRequest) -> Fingerprint:
    target = ' '.join((request.service.name, request.path))
    return fingerprint_request(
        request.customer.name,
        request.method.encode(),
        target.encode(),
        request.body,
    )
