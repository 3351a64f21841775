"""The prompt parts that crash upstreams; may be used from any thread."""

import threading
from collections.abc import Callable, Collection, Iterable
from datetime import timedelta

from linnetwind.ages import age_of, moment_of
from linnetwind.clock import Clock
from linnetwind.crash_history import Crash
from linnetwind.fingerprint import Fingerprint, fingerprint_parts
from linnetwind.prompt_parts import PromptPart
from linnetwind.upstream_incarnation import IncarnationTag
from linnetwind.upstreams.prompt_crash_history import (
    PromptCrashHistory,
    PromptQuarantine,
)
from linnetwind.upstreams.prompt_crash_inference import (
    MASS_CRASH_WINDOW,
    Answers,
    Parts,
    PromptCrash,
    PromptTraffic,
)
from linnetwind.upstreams.prompt_news import (
    AdvertisedAnswer,
    AdvertisedPromptCrash,
    AdvertisedPromptQuarantine,
    PromptNews,
)
from linnetwind.upstreams.recent_prompts import RecentPrompts

# How long a part that was answered counts as harmless after a single crash.
_ANSWER_MEMORY_MINUTES = 10
_ANSWER_MEMORY = timedelta(minutes=_ANSWER_MEMORY_MINUTES)
_MAX_ANSWERED = 8_192
# The number of parts that are kept of the prompt of a crashed request, and that
# peers are told of.
_MAX_SUSPECTS = 64
_MAX_ADVERTISED_SUSPECTS = 16
# How long news is advertised. Peers may miss some of this daemon's states.
_ADVERTISING_TIME = timedelta(seconds=2)
# The number of each kind of news that a state carries.
_MAX_ADVERTISED = 32

# Called with the parts and the length of a quarantine, and its rounds.
QuarantineListener = Callable[[Parts, timedelta, int], None]


class PromptQuarantines:
    """Decides by crashes and answers which prompt parts to quarantine."""

    def __init__(self, clock: Clock, spread: float = 0) -> None:
        """Start without crashes.

        Args:
          clock: Gives the times of crashes and the ends of quarantines.
          spread: A number from 0 to 1 that differs from daemon to daemon.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._history = PromptCrashHistory(spread=spread)
        # The latest answers are at the end.
        self._answered: dict[PromptPart, timedelta] = {}
        self._answers = 0
        self._recent = RecentPrompts()
        # When parts of quarantines were answered here.
        self._cleared: dict[PromptPart, timedelta] = {}
        self._on_quarantine: QuarantineListener = _ignore_quarantine

    @property
    def count(self) -> int:
        """Return the number of quarantines in force."""
        return len(self._history.in_force(self._clock.elapsed()))

    def report_to(self, listener: QuarantineListener) -> None:
        """Set the function to call when a quarantine begins.

        Args:
          listener: The function, which must not block.
        """
        self._on_quarantine = listener

    def record_crash(
        self,
        request: Fingerprint,
        parts: Iterable[PromptPart],
        life: IncarnationTag,
        began: timedelta,
    ) -> None:
        """Record that an upstream has just crashed under a request.

        Args:
          request: The request's fingerprint.
          parts: The shareable parts of the request's prompt.
          life: The tag of the upstream's incarnation.
          began: The monotonic time at which the request was sent there.
        """
        crash = Crash(life, began, self._clock.elapsed())
        suspects = self._suspects(parts, _MAX_SUSPECTS)
        self._add_crashes([PromptCrash(request, crash, frozenset(suspects))])

    def record_arrival(self, service: str, parts: Iterable[PromptPart]) -> None:
        """Record that a request has arrived, for the shares of parts.

        Args:
          service: The name of its service.
          parts: The shareable parts of the request's prompt.
        """
        self._recent.record_arrival(service, frozenset(parts))

    def record_answer(
        self, service: str, parts: Collection[PromptPart]
    ) -> None:
        """Record that an upstream answered a request without a crash.

        Args:
          service: The name of the request's service.
          parts: The shareable parts of the request's prompt.
        """
        now = self._clock.elapsed()
        self._recent.record_answer(service, now)
        if not parts:
            return
        with self._lock:
            suspected = frozenset().union(*self._history.quarantines)
            self._cleared.update(
                {part: now for part in parts if part in suspected}
            )
            self._answers += 1
            self._add_answers(dict.fromkeys(parts, now), now)

    def quarantine(self, parts: Collection[PromptPart]) -> timedelta | None:
        """Return how long a request must not be sent to any upstream.

        Args:
          parts: The shareable parts of the request's prompt.

        Returns:
          The remaining time, None if it may be sent.
        """
        history = self._history
        if not parts or not history.quarantines:
            return None
        remaining = history.quarantined_until(parts) - self._clock.elapsed()
        return remaining if remaining > timedelta() else None

    def merge_advertised(self, news: PromptNews) -> None:
        """Merge what a peer advertises.

        Args:
          news: The peer's news.
        """
        now = self._clock.elapsed()
        self._merge_answers(news.answers, now)
        self._merge_quarantines(
            PromptQuarantine(
                frozenset(each.parts),
                moment_of(each.age_ms, now),
                each.rounds,
                each.is_trial,
            )
            for each in news.quarantines
        )
        self._add_crashes(
            PromptCrash(
                each.request,
                Crash(
                    each.life,
                    moment_of(each.began_ms, now),
                    moment_of(each.ended_ms, now),
                ),
                frozenset(each.parts),
            )
            for each in news.crashes
        )

    def to_advertise(self) -> tuple[PromptNews, ...]:
        """Return what peers need to learn of, empty if there is nothing."""
        now = self._clock.elapsed()
        history = self._history
        crashes = [
            AdvertisedPromptCrash(
                each.request,
                each.crash.life,
                age_of(each.crash.began, now),
                age_of(each.crash.ended, now),
                self._suspects(sorted(each.parts), _MAX_ADVERTISED_SUSPECTS),
            )
            for each in history.crashes
            if now - each.crash.ended < _ADVERTISING_TIME
        ]
        quarantines = [
            AdvertisedPromptQuarantine(
                tuple(sorted(each.parts)),
                age_of(each.decided_at, now),
                each.rounds,
                each.is_trial,
            )
            for each in history.settled(now)
        ]
        answers = self._answers_to_advertise(now)
        if not crashes and not quarantines and not answers:
            return ()
        news = PromptNews(
            tuple(crashes[-_MAX_ADVERTISED:]),
            tuple(quarantines[-_MAX_ADVERTISED:]),
            tuple(answers[-_MAX_ADVERTISED:]),
        )
        return (news,)

    def restore(
        self,
        parts: Iterable[PromptPart],
        rounds: int,
        *,
        is_trial: bool = False,
    ) -> None:
        """Restore a quarantine from before this process started.

        It restarts at its full length. Its age is unknown, since the clocks of
        hosts differ and jump.

        Args:
          parts: Its parts.
          rounds: How many quarantines of these parts followed on each other.
          is_trial: Whether it was decided soon after a start.
        """
        # The crashes behind it are not known here and refute nothing.
        settled_at = self._clock.elapsed() - MASS_CRASH_WINDOW
        self._merge_quarantines(
            [PromptQuarantine(frozenset(parts), settled_at, rounds, is_trial)]
        )

    def in_force(self) -> dict[Fingerprint, PromptQuarantine]:
        """Return the quarantines that have not ended, by their fingerprint."""
        return {
            fingerprint_parts(each.parts): each
            for each in self._history.in_force(self._clock.elapsed())
        }

    def in_force_for(self, parts: Iterable[PromptPart]) -> list[Fingerprint]:
        """Return the fingerprints of the quarantines that hold for a request.

        Args:
          parts: The shareable parts of its prompt.
        """
        prompt = frozenset(parts)
        return [
            key
            for key, quarantine in self.in_force().items()
            if quarantine.parts <= prompt
        ]

    def _add_crashes(self, crashes: Iterable[PromptCrash]) -> None:
        now = self._clock.elapsed()
        with self._lock:
            before = self._history
            for crash in crashes:
                self._history = self._history.record_crash(
                    crash, self._traffic(crash.parts), now
                )
        self._report_new(before)

    def _merge_quarantines(
        self, quarantines: Iterable[PromptQuarantine]
    ) -> None:
        now = self._clock.elapsed()
        with self._lock:
            before = self._history
            for quarantine in quarantines:
                self._history = self._history.merge(
                    quarantine, self._answered, now
                )
        self._report_new(before)

    def _suspects(
        self, parts: Iterable[PromptPart], limit: int
    ) -> tuple[PromptPart, ...]:
        """Return the parts that most likely crash upstreams.

        These are the parts that were never answered, then those whose last
        answer is longest ago: a long prompt has mostly harmless parts.
        """
        with self._lock:
            return tuple(
                sorted(
                    parts,
                    key=lambda part: self._answered.get(part, timedelta.min),
                )[:limit]
            )

    def _traffic(self, parts: Parts) -> PromptTraffic:
        arrived, answered_at = self._recent.history_for(parts)
        return PromptTraffic(
            self._answered, arrived, self._answers, answered_at
        )

    def _merge_answers(
        self, answers: Iterable[AdvertisedAnswer], now: timedelta
    ) -> None:
        with self._lock:
            times = {each.part: moment_of(each.age_ms, now) for each in answers}
            newer = {
                part: at
                for part, at in times.items()
                if at > self._answered.get(part, timedelta.min)
            }
            self._add_answers(newer, now)

    def _answers_to_advertise(self, now: timedelta) -> list[AdvertisedAnswer]:
        """Return the answers on parts of new crashes and ended quarantines."""
        with self._lock:
            answered = dict(self._answered)
            cleared = dict(self._cleared)
        suspected = {
            part: answered[part]
            for each in self._history.crashes
            if now - each.crash.ended < _ADVERTISING_TIME
            for part in each.parts
            if part in answered
        }
        news = {
            part: at
            for part, at in cleared.items()
            if now - at < _ADVERTISING_TIME
        }
        return [
            AdvertisedAnswer(part, age_of(at, now))
            for part, at in {**suspected, **news}.items()
        ]

    def _add_answers(self, answers: Answers, now: timedelta) -> None:
        """Record answered parts and forget old ones; needs the lock."""
        for part, at in answers.items():
            self._answered.pop(part, None)
            self._answered[part] = at
        self._history = self._history.record_answers(answers)
        for known in (self._answered, self._cleared):
            _drop_oldest(known, now)

    def _report_new(self, before: PromptCrashHistory) -> None:
        for parts, quarantine in self._history.quarantines.items():
            known = before.quarantines.get(parts)
            if known is None or known.rounds < quarantine.rounds:
                self._on_quarantine(parts, quarantine.length, quarantine.rounds)


def _drop_oldest(known: dict[PromptPart, timedelta], now: timedelta) -> None:
    """Drop the first entries while they are too old or too many."""
    while known:
        part, at = next(iter(known.items()))
        if len(known) <= _MAX_ANSWERED and now - at < _ANSWER_MEMORY:
            return
        known.pop(part)


def _ignore_quarantine(parts: Parts, length: timedelta, rounds: int) -> None:
    """Do nothing, until a listener is set."""
