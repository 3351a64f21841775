"""The registered upstreams, folded from the records of the store.

Each record has an offset. A stale copy of the list would bring back an upstream
that drains by now, so a record at or below its key's known offset is ignored.
Offsets also decide which of two incarnations of an upstream is newer: start
times come from the host's clock, which may jump.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import cached_property
from typing import Self, TypeVar

from linnetwind.record_store import Position
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.evacuation import Evacuations
from linnetwind.upstreams.registration import (
    Predecessor,
    Upstream,
    UpstreamRecord,
    is_late,
    is_restart,
)

# A live upstream registers again within about two seconds after the store is
# back from an outage in which its entry expired (the platform's figure).
RETURN_GRACE = timedelta(seconds=2)
# Entries that lapsed in an outage count as older than any record.
_LAPSED_OFFSET = -1
# Bounds the memory for leaving incarnations. Each one still serves for some
# seconds after it announces that it leaves; fewer than this leave in that time.
MAX_LEAVING = 1_000

_Entry = TypeVar('_Entry')


@dataclass(frozen=True)
class UpstreamList:
    """The known state of the registered upstreams; immutable.

    Attributes:
      end: The offset after the last record that was read, within `era`.
      records: The newest record of each instance.
      lapsed: The upstreams whose entries disappeared during an outage of the
        store, with the monotonic time until which they stay usable.
      min_offsets: For instances at whose address another one has responded, or
        whose record from an older copy of the store is not trusted: the offset
        from which on their records count.
      previous: The previous incarnation of each upstream that restarted.
      configured_services: Services in force; None before any configuration.
      era: The era of the store's offsets.
      leaving: Incarnations whose responses announced leaving, in that order.
      evacuations: The data centres whose upstreams are sent no requests.
    """

    end: int = 0
    records: Mapping[str, UpstreamRecord] = field(default_factory=dict)
    lapsed: Mapping[str, tuple[timedelta, Upstream]] = field(
        default_factory=dict
    )
    min_offsets: Mapping[str, int] = field(default_factory=dict)
    previous: Mapping[str, Predecessor] = field(default_factory=dict)
    configured_services: frozenset[str] | None = None
    era: int = 0
    leaving: tuple[UpstreamIncarnation, ...] = ()
    evacuations: Evacuations = field(default_factory=Evacuations)

    def usable(self, service: str, now: timedelta) -> list[Upstream]:
        """Return the upstreams of a service that may be sent requests.

        After a crash, an upstream's entry stays for some heartbeats while its
        successor registers at the same address. Requests for the crashed one
        would only be refused, so just the newest entry of an address counts.
        Entries of services that are not configured do not count: one of another
        writer could take over a working upstream's address and its requests.

        Args:
          service: The service's name.
          now: The monotonic time.

        Returns:
          The registered upstreams that neither drain nor leave, and those whose
          entries lapsed in a store outage, for their grace period, except those
          in evacuated data centres. The same object on each call while the list
          is unchanged and no entry lapsed.
        """
        if self.lapsed:
            return self._not_evacuated(self.active(service, now))
        return self._usable.get(service, [])

    def active(self, service: str, now: timedelta) -> list[Upstream]:
        """Return the usable upstreams of a service and the evacuated ones.

        Args:
          service: The service's name.
          now: The monotonic time.

        Returns:
          The upstreams that may run requests, and would be sent new ones if no
          data centre were evacuated.
        """
        if self.lapsed:
            lapsed = [each for till, each in self.lapsed.values() if now < till]
            return self._active_with(lapsed).get(service, [])
        return self._active.get(service, [])

    def is_evacuated(self, service: str, now: timedelta) -> bool:
        """Return whether only evacuated data centres could run a service.

        Args:
          service: The service's name.
          now: The monotonic time.

        Returns:
          Whether it has upstreams, all of them in evacuated data centres.
        """
        if not self.evacuations.sites or self.usable(service, now):
            return False
        return bool(self.active(service, now))

    def replace_evacuations(self, evacuations: Evacuations) -> Self:
        """Return the list after an evacuation was decided.

        Args:
          evacuations: The evacuated data centres.

        Returns:
          The list, unchanged if the evacuations are the same object.
        """
        if evacuations is self.evacuations:
            return self
        return replace(self, evacuations=evacuations)

    def bar_replaced_instance(self, expected: Upstream) -> Self:
        """Return the list after another instance responded at an address.

        A live upstream writes a record with each heartbeat, so any newer record
        makes the instance usable again, even one of a next incarnation without
        a start time or with the same start time.

        Args:
          expected: The upstream that was expected at the address.

        Returns:
          The list, in which the upstream is not usable until a newer record
          of it arrives; unchanged if another incarnation of it is registered.
        """
        known = self.records.get(expected.instance)
        if known is not None and known.upstream is not None:
            if known.upstream.life != expected.life:
                return self
        barred = {expected.instance: self.end}
        return replace(self, min_offsets={**self.min_offsets, **barred})

    def record_leaving(self, upstream: Upstream) -> Self:
        """Return the list after an upstream announced that it leaves.

        Args:
          upstream: The upstream that leaves.

        Returns:
          The list, with this incarnation unusable, whatever its entry says.
        """
        others = [each for each in self.leaving if each != upstream.life]
        leaving = (*others, upstream.life)[-MAX_LEAVING:]
        return replace(self, leaving=leaving)

    def is_usable(self, upstream: Upstream, now: timedelta) -> bool:
        """Return whether an upstream may still be sent requests.

        Args:
          upstream: An upstream that was usable before.
          now: The monotonic time.

        Returns:
          Whether the same incarnation is usable now.
        """
        usable = self.usable(upstream.service, now)
        return any(each.life == upstream.life for each in usable)

    def restrict_to_services(self, services: Iterable[str]) -> Self:
        """Return the list after a configuration came into force.

        Args:
          services: The services of the configuration.

        Returns:
          The list, in which only entries of these services count. Entries of
          other services are kept for a later configuration.
        """
        return replace(self, configured_services=frozenset(services))

    def registered(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service, draining ones included.

        Args:
          service: The service's name.

        Returns:
          Those with an entry or a lapsed one, by offset from oldest to newest.
        """
        lapsed = [each for _until, each in self.lapsed.values()]
        entries = self._sorted(lapsed)
        return [each for _at, each in entries if each.service == service]

    def incarnations(self) -> set[UpstreamIncarnation]:
        """Return the incarnations of all registered or lapsed upstreams."""
        registered = [each.upstream for each in self.records.values()]
        lapsed = [upstream for _until, upstream in self.lapsed.values()]
        return {each.life for each in (*registered, *lapsed) if each}

    @cached_property
    def incarnations_by_tag(
        self,
    ) -> Mapping[IncarnationTag, UpstreamIncarnation]:
        """Return the incarnations by their tags."""
        return {tag_incarnation(life): life for life in self.incarnations()}

    def fold_records(self, records: Iterable[UpstreamRecord], end: int) -> Self:
        """Return the list with newer records folded in.

        Args:
          records: Records in the order of their offsets.
          end: The offset up to which the store has been read.

        Returns:
          The list.
        """
        known = dict(self.records)
        lapsed = dict(self.lapsed)
        previous = dict(self.previous)
        for record in records:
            before = known.get(record.instance)
            if before is not None and record.offset <= before.offset:
                continue
            if is_late(record, before, previous.get(record.instance)):
                late = Predecessor(record.upstream.life, record.offset)
                previous[record.instance] = late
                continue
            if is_restart(record, before):
                previous[record.instance] = Predecessor(before.upstream.life)
            known[record.instance] = record
            lapsed.pop(record.instance, None)
        return replace(
            self,
            end=max(end, self.end),
            records=known,
            lapsed=lapsed,
            previous=previous,
        )

    def replace_all(
        self,
        records: Iterable[UpstreamRecord],
        end: int,
        *,
        outage: bool,
        now: timedelta,
        era: int = 0,
    ) -> Self:
        """Return the list after a complete read of the store.

        Unlisted keys were deleted. After a store outage their upstreams stay
        usable for the grace period, in which those alive register again.

        Args:
          records: The newest record of each key.
          end: The offset up to which the store had records.
          outage: Whether the store was unavailable before this read.
          now: The monotonic time.
          era: The era of the offsets.

        Returns:
          The list; unchanged if the store served an older copy.
        """
        if era > self.era:
            return self._enter_era(era, end).replace_all(
                records, end, outage=True, now=now, era=era
            )
        if Position(era, end) < Position(self.era, self.end):
            return self
        listed = list(records)
        names = {each.instance for each in listed}
        lapsed = dict(self.lapsed)
        for instance, before in self.records.items():
            if instance in names or before.upstream is None:
                continue
            if outage and not before.upstream.draining:
                lapsed[instance] = (now + RETURN_GRACE, before.upstream)
        known = replace(
            self,
            records=_only(self.records, names),
            lapsed=lapsed,
            min_offsets=_only(self.min_offsets, names | set(lapsed)),
            previous=_only(self.previous, names),
        )
        return known.fold_records(listed, end)

    def _enter_era(self, era: int, end: int) -> Self:
        """Return the list for a store that was restored from an older copy.

        Offsets of the new era cannot be compared with those of the old one. The
        copy may list upstreams as ready that have since left or begun to drain,
        and they would get requests again. These instances count only from their
        next heartbeat on, whose offset lies behind the copy's end; those that
        have left never write one.
        """
        barred = [
            instance
            for instance, each in self.records.items()
            if each.upstream is None
            or each.upstream.draining
            or each.offset < self.min_offsets.get(instance, each.offset)
        ]
        records = {
            instance: replace(each, offset=_LAPSED_OFFSET)
            for instance, each in self.records.items()
        }
        # The copy may hold an entry of the incarnation before the known one.
        previous = {
            instance: Predecessor(each.life)
            for instance, each in self.previous.items()
        }
        return replace(
            self,
            era=era,
            end=0,
            records=records,
            min_offsets=dict.fromkeys(barred, end),
            previous=previous,
        )

    @cached_property
    def _usable(self) -> dict[str, list[Upstream]]:
        return {
            service: self._not_evacuated(each)
            for service, each in self._active.items()
        }

    @cached_property
    def _active(self) -> dict[str, list[Upstream]]:
        return self._active_with([])

    def _not_evacuated(self, upstreams: list[Upstream]) -> list[Upstream]:
        sites = self.evacuations.sites
        if not sites:
            return upstreams
        return [each for each in upstreams if each.site not in sites]

    def _active_with(self, lapsed: list[Upstream]) -> dict[str, list[Upstream]]:
        newest = {each.address: (at, each) for at, each in self._sorted(lapsed)}
        active: dict[str, list[Upstream]] = {}
        for at, each in newest.values():
            is_trusted = at >= self.min_offsets.get(each.instance, at)
            leaves = each.draining or each.life in self.leaving
            if is_trusted and not leaves:
                active.setdefault(each.service, []).append(each)
        return active

    def _sorted(self, lapsed: list[Upstream]) -> list[tuple[int, Upstream]]:
        """Return upstreams with their offsets, from oldest to newest."""
        entries = [(_LAPSED_OFFSET, upstream) for upstream in lapsed]
        entries.extend(
            (each.offset, each.upstream)
            for each in self.records.values()
            if each.upstream is not None and self._is_configured(each.upstream)
        )
        return sorted(entries, key=_offset)

    def _is_configured(self, upstream: Upstream) -> bool:
        return (
            self.configured_services is None
            or upstream.service in self.configured_services
        )


def _offset(entry: tuple[int, Upstream]) -> int:
    return entry[0]


def _only(known: Mapping[str, _Entry], names: set[str]) -> dict[str, _Entry]:
    return {name: each for name, each in known.items() if name in names}
