"""The evacuated data centres, folded from an operator's records.

Handles an operator who takes a whole data centre out of service while some
daemons read the store late, read an older copy of it, or learn of the
evacuation only from other daemons. No daemon may send requests there a second
after it could know, so each daemon has to order what it learns from several
sources: the record with the newest position in the store decides.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import Annotated, Self

from msgspec import Meta

from linnetwind.record_store import Position

# Bounds the memory for cancelled evacuations, whose names anyone who writes to
# the topic chooses. There are far fewer data centres.
MAX_CANCELLED = 64
# Bounds the size of the daemons' states, which fit into a few packets.
MAX_ADVERTISED = 16
# A key of the store has at most 255 bytes, some of them for the prefix.
MAX_NAME_CHARACTERS = 255

SiteName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A decision on a data centre, and the position of its record.

    `active` is False if the evacuation was cancelled. A complete read that does
    not list the evacuation cancels it with the offset of the last record that
    it could have listed: -1 for an empty store.
    """

    site: SiteName
    active: bool
    offset: Annotated[int, Meta(ge=-1)]
    era: Annotated[int, Meta(ge=0)] = 0

    @property
    def position(self) -> Position:
        """Return the position of the record."""
        return Position(self.era, self.offset)


@dataclass(frozen=True)
class Evacuations:
    """The newest decision on each data centre; immutable.

    `end` is the position up to which a complete read has listed all
    evacuations: one that it did not list was cancelled before.
    """

    decided: Mapping[str, Evacuation] = field(default_factory=dict)
    end: Position = Position(0, 0)

    @cached_property
    def sites(self) -> frozenset[str]:
        """Return the names of the evacuated data centres."""
        return frozenset(
            each.site for each in self.decided.values() if each.active
        )

    @cached_property
    def to_advertise(self) -> tuple[Evacuation, ...]:
        """Return the decisions that peers are told, newest first.

        Cancelled evacuations are among them, since a daemon that is cut off
        from the store would otherwise never use the data centre again. If there
        are too many, those in force take precedence.
        """
        newest_first = sorted(
            self.decided.values(),
            key=lambda each: (each.active, each.position),
            reverse=True,
        )
        return tuple(newest_first[:MAX_ADVERTISED])

    def fold_records(self, records: Iterable[Evacuation]) -> Self:
        """Return the evacuations with newer decisions folded in.

        Args:
          records: Decisions from records of the store, or from peers.

        Returns:
          The evacuations; this object if no decision is newer.
        """
        decided = dict(self.decided)
        for each in records:
            before = decided.get(each.site)
            if before is None:
                # A record before the end of a complete read was deleted by
                # then, or the read would have listed it.
                is_newer = each.position >= self.end
            else:
                is_newer = each.position > before.position
            if is_newer:
                decided[each.site] = each
        if decided == self.decided:
            return self
        return replace(self, decided=_bound_cancelled(decided))

    def replace_all(self, records: Iterable[Evacuation], end: Position) -> Self:
        """Return the evacuations after a complete read of the store.

        Args:
          records: The evacuations in the store.
          end: The position after the last record of the store.

        Returns:
          The evacuations, without those that the store does not list. An older
          read cancels nothing that was decided at or after its end.
        """
        listed = list(records)
        kept = {each.site for each in listed}
        cancelled = {
            each.site: replace(
                each, active=False, offset=end.offset - 1, era=end.era
            )
            for each in self.decided.values()
            if each.active and each.site not in kept and each.position < end
        }
        # Records are compared with the decisions before this read and with the
        # end of an earlier one: this read lists records before its own end.
        known = self.fold_records(listed)
        if not cancelled and end <= self.end:
            return known
        return replace(
            known,
            decided=_bound_cancelled({**known.decided, **cancelled}),
            end=max(end, self.end),
        )


def _bound_cancelled(
    decided: Mapping[str, Evacuation],
) -> Mapping[str, Evacuation]:
    """Return the decisions with the newest of the cancelled evacuations."""
    cancelled = [each for each in decided.values() if not each.active]
    if len(cancelled) <= MAX_CANCELLED:
        return decided
    cancelled.sort(key=lambda each: each.position)
    excess = {each.site for each in cancelled[:-MAX_CANCELLED]}
    return {site: each for site, each in decided.items() if site not in excess}
