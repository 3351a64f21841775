"""History of the crashes under prompt parts, which decides on quarantines.

A request whose prompt has all parts of a quarantine is not sent to any
upstream. The quarantine ends as soon as each of its parts has been answered in
some other request. Until then it is not reduced to the parts that were not: if
it rested on chance, it would refuse more and more requests.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Self

from linnetwind.crash_history import FIRST_QUARANTINE, MAX_QUARANTINE
from linnetwind.prompt_parts import PromptPart
from linnetwind.upstreams.prompt_crash_inference import (
    MASS_CRASH_WINDOW,
    Answers,
    Parts,
    PromptCrash,
    PromptTraffic,
    find_cause,
    is_refuted,
)

# Soon after its start a daemon has seen too few requests to know the popular
# parts. It tries again soon then, since no request is answered meanwhile.
TRIAL_QUARANTINE = timedelta(seconds=10)
# How long a crash is evidence.
CRASH_MEMORY = FIRST_QUARANTINE
# The largest numbers of crashed requests and of quarantines that are kept.
MAX_CRASHES = 128
MAX_QUARANTINES = 64
# Enough doublings to reach `MAX_QUARANTINE`; bounds the exponent.
_MAX_DOUBLINGS = 8
# The gateways end a quarantine one after the other, over this fraction of its
# length. If all ended it at once, the first requests would crash an upstream
# for each of hundreds of gateways.
_END_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class PromptQuarantine:
    """Parts whose requests are not sent to any upstream for some time.

    `decided_at` is the monotonic time at which it began. `rounds` counts the
    quarantines of these parts that followed on each other. `is_trial` says that
    it may rest on chance and is kept short. `despite_answers` says that the
    parts were known to have been answered before. `harmless` are the parts that
    were found to be answered since the decision.
    """

    parts: Parts
    decided_at: timedelta
    rounds: int = 1
    is_trial: bool = False
    despite_answers: bool = False
    harmless: Parts = frozenset()

    @property
    def length(self) -> timedelta:
        """Return how long the first gateway keeps the quarantine."""
        doublings = min(self.rounds - 1, _MAX_DOUBLINGS)
        first = TRIAL_QUARANTINE if self.is_trial else FIRST_QUARANTINE
        return min(first * 2**doublings, MAX_QUARANTINE)


@dataclass(frozen=True)
class PromptCrashHistory:
    """The recent crashes and the quarantines by their parts.

    `spread` says when this daemon ends a quarantine: 0 for the first of the
    daemons, 1 for the last.
    """

    crashes: tuple[PromptCrash, ...] = ()
    quarantines: Mapping[Parts, PromptQuarantine] = field(default_factory=dict)
    spread: float = 0

    def record_crash(
        self, newest: PromptCrash, traffic: PromptTraffic, now: timedelta
    ) -> Self:
        """Add a crash, and quarantine the parts that it shows to be the cause.

        Args:
          newest: The crash. Repeated reports of it are ignored.
          traffic: What this daemon has seen of prompts.
          now: The monotonic time.

        Returns:
          The updated history.
        """
        if not newest.parts or self._is_known(newest):
            return self
        recent = (
            each
            for each in self.crashes
            if now - each.crash.ended < CRASH_MEMORY
        )
        crashes = (*recent, newest)[-MAX_CRASHES:]
        updated = replace(self, crashes=crashes)._without_refuted(now)
        updated = updated._renew_ended(newest, now, is_warm=traffic.is_warm)
        certain = [
            each.parts
            for each in updated.quarantines.values()
            if not each.is_trial
        ]
        cause = find_cause(newest, crashes, traffic, certain)
        if cause is None:
            return updated
        decided = PromptQuarantine(
            cause.parts,
            now,
            is_trial=not cause.is_certain,
            despite_answers=any(
                part in traffic.answered for part in cause.parts
            ),
        )
        others = updated._without_trials(except_for=cause.parts)
        return others._with_quarantine(decided, now)

    def record_answers(self, answers: Answers) -> Self:
        """End the quarantines of parts that are not the cause.

        Args:
          answers: When upstreams answered on parts. Answers from before a
            quarantine count as well, unless they were known at its decision.

        Returns:
          The updated history.
        """
        if not any(part in answers for key in self.quarantines for part in key):
            return self
        updated = [
            replace(
                each, harmless=each.harmless | _harmless_parts(each, answers)
            )
            for each in self.quarantines.values()
        ]
        return replace(
            self,
            quarantines={
                each.parts: each
                for each in updated
                if each.harmless != each.parts
            },
        )

    def merge(
        self, quarantine: PromptQuarantine, answered: Answers, now: timedelta
    ) -> Self:
        """Add a quarantine that a peer or the store knows.

        Args:
          quarantine: The quarantine.
          answered: When parts were last answered. The peer may have started
            later and not know that these are harmless.
          now: The monotonic time.

        Returns:
          The updated history; unchanged if all its parts were answered.
        """
        harmless = quarantine.parts & frozenset(answered)
        if harmless == quarantine.parts:
            return self
        return self._with_quarantine(
            replace(quarantine, harmless=harmless), now
        )

    def quarantined_until(self, parts: Iterable[PromptPart]) -> timedelta:
        """Return until when a request must not be sent to any upstream.

        Args:
          parts: The shareable parts of its prompt.

        Returns:
          The monotonic time at which its quarantine ends; zero without one.
        """
        prompt = frozenset(parts)
        return max(
            (
                self._end_of(each)
                for key, each in self.quarantines.items()
                if key <= prompt
            ),
            default=timedelta(),
        )

    def settled(self, now: timedelta) -> list[PromptQuarantine]:
        """Return the quarantines that later crashes can't refute any more.

        Args:
          now: The monotonic time.

        Returns:
          Those of the quarantines in force that peers may be told.
        """
        return [
            each
            for each in self.in_force(now)
            if now - each.decided_at >= MASS_CRASH_WINDOW
        ]

    def in_force(self, now: timedelta) -> list[PromptQuarantine]:
        """Return the quarantines that have not ended.

        Args:
          now: The monotonic time.

        Returns:
          The quarantines.
        """
        return [
            each
            for each in self.quarantines.values()
            if now < self._end_of(each)
        ]

    def _with_quarantine(
        self, quarantine: PromptQuarantine, now: timedelta
    ) -> Self:
        """Add a quarantine; it replaces those of more parts."""
        parts = quarantine.parts
        known = {
            key: each
            for key, each in self.quarantines.items()
            if now < self._forgotten_at(each)
        }
        if any(
            key < parts and now < self._end_of(each)
            for key, each in known.items()
        ):
            return self
        before = known.get(parts)
        if before is not None and not before.is_trial:
            quarantine = replace(quarantine, is_trial=False)
        newer = _newer(before, quarantine)
        others = [
            (key, each) for key, each in known.items() if not parts <= key
        ]
        limited = others[1 - MAX_QUARANTINES :]
        return replace(self, quarantines=dict([*limited, (parts, newer)]))

    def _is_known(self, crash: PromptCrash) -> bool:
        return any(
            each.crash.life == crash.crash.life
            and each.request == crash.request
            for each in self.crashes
        )

    def _without_refuted(self, now: timedelta) -> Self:
        """Drop new quarantines that rested on the first of many crashes."""
        kept = {
            parts: each
            for parts, each in self.quarantines.items()
            if each.rounds > 1
            or now - each.decided_at >= MASS_CRASH_WINDOW
            or not is_refuted(parts, self.crashes)
        }
        return replace(self, quarantines=kept)

    def _without_trials(self, except_for: Parts) -> Self:
        """Drop the other uncertain quarantines when a cause is found."""
        kept = {
            parts: each
            for parts, each in self.quarantines.items()
            if parts == except_for or not each.is_trial
        }
        return replace(self, quarantines=kept)

    def _renew_ended(
        self, newest: PromptCrash, now: timedelta, *, is_warm: bool
    ) -> Self:
        """Renew the quarantines that ended before a crash under their parts."""
        renewed = {
            key: replace(
                each,
                decided_at=now,
                rounds=each.rounds + 1,
                is_trial=each.is_trial and not is_warm,
            )
            for key, each in self.quarantines.items()
            if key <= newest.parts and self._end_of(each) <= newest.crash.began
        }
        return replace(self, quarantines={**self.quarantines, **renewed})

    def _end_of(self, quarantine: PromptQuarantine) -> timedelta:
        spread = 1 + _END_SPREAD * self.spread
        return quarantine.decided_at + quarantine.length * spread

    def _forgotten_at(self, quarantine: PromptQuarantine) -> timedelta:
        # Known for as long again, so that a single crash renews it.
        return self._end_of(quarantine) + quarantine.length


def _harmless_parts(quarantine: PromptQuarantine, answers: Answers) -> Parts:
    since = (
        quarantine.decided_at if quarantine.despite_answers else timedelta.min
    )
    return frozenset(
        part for part in quarantine.parts if answers.get(part, since) > since
    )


def _newer(
    known: PromptQuarantine | None, found: PromptQuarantine
) -> PromptQuarantine:
    """Return the one of more rounds; of equals the one that ends first.

    Peers repeat a quarantine with a time that is late by the transmission.
    """
    if known is None:
        return found
    if known.is_trial and not found.is_trial:
        return replace(found, rounds=max(known.rounds, found.rounds))
    if known.rounds == found.rounds:
        return min(known, found, key=lambda each: each.decided_at)
    return max(known, found, key=lambda each: each.rounds)
