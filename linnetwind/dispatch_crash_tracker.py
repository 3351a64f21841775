"""Quarantine of what crashes upstreams, in an entry daemon."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import count

from linnetwind.clock import Clock
from linnetwind.crash_tracker import CrashTracker
from linnetwind.decision_log import log_decision
from linnetwind.fingerprint import Fingerprint, fingerprint_request
from linnetwind.http_request import CheckedRequest
from linnetwind.in_flight_call import InterruptedResponse, OpenResponse
from linnetwind.outcome import NotRun, Reason, Unknown
from linnetwind.upstream_incarnation import (
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.prompt_quarantines import PromptQuarantines

_FIRST_FAILURE = 400
# The requests that ran on a crashed upstream are interrupted within this time.
# It takes longer to start again.
_SAME_CRASH = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class _UpstreamCrash:
    """The last crash of an upstream and the monotonic time of its report."""

    incarnation: UpstreamIncarnation
    at: timedelta


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent to an upstream at the monotonic time `began`."""

    request: CheckedRequest
    upstream: str
    began: timedelta


class DispatchCrashTracker:
    """Tracks the crashes under one entry daemon's requests.

    Entry daemons do not advertise crashes to each other.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with an empty history.

        Args:
          clock: Gives the times of crashes and the ends of quarantines.
        """
        self._clock = clock
        self._crashes = CrashTracker(clock)
        self._prompts = PromptQuarantines(clock)
        # Side daemons do not report which incarnation of an upstream crashed,
        # so every crash gets an incarnation name of its own.
        self._crash_numbers = count()
        self._last_crashes: dict[str, _UpstreamCrash] = {}

    def record_arrival(self, request: CheckedRequest) -> None:
        """Record that a request has arrived.

        Args:
          request: The request.
        """
        self._prompts.record_arrival(request.service.name, request.prompt_parts)

    def refusal(self, request: CheckedRequest) -> NotRun | None:
        """Return the refusal of a request that is in quarantine.

        Args:
          request: The request.

        Returns:
          The refusal with the remaining time, None if it may be sent.
        """
        remaining = self._prompts.quarantine(request.prompt_parts)
        if remaining is None and self._crashes.has_crashes:
            remaining = self._crashes.quarantine(_fingerprint(request))
        return (
            None if remaining is None else NotRun(Reason.QUARANTINED, remaining)
        )

    def record_crash(
        self, sent: SentRequest, outcome: NotRun | Unknown
    ) -> None:
        """Record the crash, if any, behind an attempt that failed.

        Args:
          sent: The request, as it was sent.
          outcome: Why there is no complete response.
        """
        if outcome.reason is not Reason.UPSTREAM_CRASHED:
            return
        fingerprint = _fingerprint(sent.request)
        crash = UpstreamIncarnation(f'crash-{next(self._crash_numbers)}')
        remaining = self._crashes.record_crash(fingerprint, crash, sent.began)
        self._prompts.record_crash(
            fingerprint,
            sent.request.prompt_parts,
            tag_incarnation(self._crashed_incarnation(sent.upstream, crash)),
            sent.began,
        )
        log_decision(
            'upstream_crashed',
            {
                'request': sent.request.request_id,
                'upstream': sent.upstream,
                'fingerprint': fingerprint,
                'prompt_parts': ' '.join(sent.request.prompt_parts),
                'quarantine': '' if remaining is None else str(remaining),
            },
        )

    def track_answer(
        self, sent: SentRequest, opened: OpenResponse
    ) -> OpenResponse:
        """Wrap a response so that its end is recorded.

        Args:
          sent: The request, as it was sent.
          opened: Its response, whose body has not been read.

        Returns:
          The same response. When its body has been read, a crash or a
          successful answer is recorded.
        """
        return replace(opened, body=self._tracked(sent, opened))

    def _crashed_incarnation(
        self, upstream: str, crash: UpstreamIncarnation
    ) -> UpstreamIncarnation:
        """Return one name for all reports of the same crash of an upstream."""
        now = self._clock.elapsed()
        last = self._last_crashes.get(upstream)
        if last is None or now - last.at > _SAME_CRASH:
            last = _UpstreamCrash(crash, now)
            self._last_crashes[upstream] = last
        return last.incarnation

    def _tracked(
        self, sent: SentRequest, opened: OpenResponse
    ) -> Iterator[bytes]:
        try:
            yield from opened.body
        except InterruptedResponse as broken:
            self.record_crash(sent, broken.outcome)
            raise
        if opened.status >= _FIRST_FAILURE:
            return
        self._prompts.record_answer(
            sent.request.service.name, sent.request.prompt_parts
        )
        if self._crashes.has_crashes:
            self._crashes.record_answer(_fingerprint(sent.request))


def _fingerprint(request: CheckedRequest) -> Fingerprint:
    target = ' '.join((request.service.name, request.path))
    return fingerprint_request(
        request.customer.name,
        request.method.encode(),
        target.encode(),
        request.body,
    )
