"""What daemons advertise to each other of prompts that crash upstreams."""

from collections.abc import Hashable
from dataclasses import dataclass

from linnetwind.ages import AgeMs
from linnetwind.fingerprint import Fingerprint
from linnetwind.prompt_parts import PromptPart
from linnetwind.upstream_incarnation import IncarnationTag


@dataclass(frozen=True, slots=True)
class AdvertisedPromptCrash:
    """A `PromptCrash` in messages to peers, with ages instead of times."""

    request: Fingerprint
    life: IncarnationTag
    began_ms: AgeMs
    ended_ms: AgeMs
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class AdvertisedPromptQuarantine:
    """A `PromptQuarantine` in messages to peers, with its age."""

    parts: tuple[PromptPart, ...]
    age_ms: AgeMs
    rounds: int
    is_trial: bool = False


@dataclass(frozen=True, slots=True)
class AdvertisedAnswer:
    """A prompt part, and the time since an upstream last answered on it."""

    part: PromptPart
    age_ms: AgeMs


@dataclass(frozen=True, slots=True)
class PromptNews:
    """What a daemon advertises of prompt parts.

    `answers` are about suspected parts: each daemon sees only some of the
    requests and does not know all harmless parts.
    """

    crashes: tuple[AdvertisedPromptCrash, ...] = ()
    quarantines: tuple[AdvertisedPromptQuarantine, ...] = ()
    answers: tuple[AdvertisedAnswer, ...] = ()

    @property
    def subjects(self) -> Hashable:
        """Return what the news is about, without the ages."""
        return (
            tuple((each.request, each.life) for each in self.crashes),
            tuple(each.parts for each in self.quarantines),
            tuple(each.part for each in self.answers),
        )
