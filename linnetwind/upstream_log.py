"""Logs upstreams that become cold, are ejected, return or are crashed."""

from datetime import timedelta

from linnetwind.event_log import EventLog
from linnetwind.gateway_events import (
    UpstreamCold,
    UpstreamEjected,
    UpstreamReturned,
)
from linnetwind.prompt_events import PromptQuarantined
from linnetwind.request_history import RequestHistory
from linnetwind.upstream_incarnation import UpstreamIncarnation
from linnetwind.upstreams.cold_allowance import ColdSource
from linnetwind.upstreams.prompt_crash_inference import Parts


class UpstreamLog:
    """Logs what the history of requests finds out about upstreams."""

    def __init__(self, log: EventLog) -> None:
        """Prepare to log.

        Args:
          log: The log.
        """
        self._log = log

    def follow(self, history: RequestHistory) -> None:
        """Log the changes of a history from now on.

        Args:
          history: The history.
        """
        history.cold.report_to(self._log_cold)
        history.ejections.report_to(self._log_ejected, self._log_returned)
        history.prompts.report_to(self._log_quarantined)

    def _log_cold(
        self,
        upstream: UpstreamIncarnation,
        per_s: float,
        left: timedelta,
        source: ColdSource,
    ) -> None:
        self._log.event(UpstreamCold(upstream, per_s, left, source.value))

    def _log_ejected(
        self,
        upstream: UpstreamIncarnation,
        share: float,
        left: timedelta,
        source: str,
    ) -> None:
        self._log.event(UpstreamEjected(upstream, share, left, source))

    def _log_quarantined(
        self, parts: Parts, length: timedelta, rounds: int
    ) -> None:
        self._log.event(PromptQuarantined(tuple(sorted(parts)), length, rounds))

    def _log_returned(self, upstream: UpstreamIncarnation) -> None:
        self._log.event(UpstreamReturned(upstream))
