"""Follows the evacuations of data centres, from the store and from peers."""

from collections.abc import Callable

from linnetwind.event_log import EventLog
from linnetwind.gateway_events import (
    BadRecord,
    EvacuationChanged,
    EvacuationUnknown,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.record_follower import TopicUpdate
from linnetwind.record_store import KeyedRecord, Position, Topic
from linnetwind.upstreams.evacuation import Evacuation, Evacuations
from linnetwind.upstreams.upstream_list import UpstreamList

# The content of a record that evacuates a data centre.
_CONTENT = b'{}'


class EvacuationFeed:
    """Applies evacuations to a gateway's state and logs the changes.

    Any content of a record counts as a request to evacuate: only deleting its
    key cancels the evacuation.
    """

    def __init__(
        self, prefix: str, own_site: str, state: GatewayState, log: EventLog
    ) -> None:
        """Start without evacuations.

        Args:
          prefix: The part of a record's key before the name of the data centre.
          own_site: The data centre of this daemon.
          state: The state to update.
          log: The log.
        """
        self._prefix = prefix
        self._own_site = own_site
        self._state = state
        self._log = log
        self._unknown: frozenset[str] = frozenset()
        self._unnamed_offset: int | None = None

    def apply_update(self, news: TopicUpdate) -> None:
        """Apply records of the topic of the configuration.

        Args:
          news: The records, also of other keys.
        """
        decisions = self._decode(news)
        is_complete = news.whole and not news.is_copy
        if is_complete:
            end = Position(news.era, news.end)
            self._change(
                lambda known: known.replace_all(decisions, end), news.source
            )
        else:
            self._change(
                lambda known: known.fold_records(decisions), news.source
            )

    def apply_advertised(
        self, peer: str, decisions: tuple[Evacuation, ...]
    ) -> None:
        """Apply the decisions that a peer's state tells.

        Args:
          peer: The name of the peer.
          decisions: The newest decisions that the peer knows.
        """
        self._change(lambda known: known.fold_records(decisions), peer)

    def records(self, era: int) -> list[KeyedRecord]:
        """Return the evacuations as records, for the copy of a peer.

        Args:
          era: The era of the copy. Decisions of another era are left out, as
            their offsets would be compared with those of the copy; peers learn
            of them from this daemon's states.

        Returns:
          The records, with those that cancelled an evacuation.
        """
        return [
            KeyedRecord(
                self._prefix + each.site,
                max(0, each.offset),
                _CONTENT if each.active else None,
            )
            for each in self._evacuations.decided.values()
            if each.era == era
        ]

    def check_names(self) -> None:
        """Log evacuations of data centres that no host belongs to, once."""
        upstreams = self._state.upstreams
        unknown = upstreams.evacuations.sites
        # Before the upstreams are read, no data centre is known.
        if unknown and not upstreams.end:
            return
        if unknown:
            unknown -= self._known_sites(upstreams)
        for site in sorted(unknown - self._unknown):
            decision = upstreams.evacuations.decided[site]
            self._log.event(EvacuationUnknown(site, decision.offset))
        self._unknown = unknown

    @property
    def _evacuations(self) -> Evacuations:
        return self._state.upstreams.evacuations

    def _change(
        self, fold: Callable[[Evacuations], Evacuations], source: str
    ) -> None:
        known = self._evacuations
        if fold(known) is known:
            # Replacing the list of upstreams would discard what is cached.
            return
        before = self._state.change_upstreams(
            lambda listed: listed.replace_evacuations(fold(listed.evacuations))
        ).evacuations
        after = fold(before)
        for site in sorted(before.sites ^ after.sites):
            self._log_change(after.decided[site], source)
        self.check_names()

    def _log_change(self, decision: Evacuation, source: str) -> None:
        registered = [
            each
            for each in self._state.upstreams.records.values()
            if each.upstream and each.upstream.site == decision.site
        ]
        self._log.event(
            EvacuationChanged(
                decision.site,
                decision.active,
                source,
                decision.offset,
                len(registered),
            )
        )

    def _known_sites(self, upstreams: UpstreamList) -> set[str]:
        peers = self._state.peer_table.received.values()
        registered = [each.upstream for each in upstreams.records.values()]
        return {
            self._own_site,
            *(each.state.site for each in peers),
            *(each.site for each in registered if each is not None),
        }

    def _decode(self, news: TopicUpdate) -> list[Evacuation]:
        decisions = []
        for record in news.records:
            if not record.key.startswith(self._prefix):
                continue
            site = record.key.removeprefix(self._prefix)
            is_active = record.content is not None
            if site:
                decisions.append(
                    Evacuation(site, is_active, record.offset, news.era)
                )
            elif is_active:
                self._log_unnamed(record)
        return decisions

    def _log_unnamed(self, record: KeyedRecord) -> None:
        """Log a record without a name once, although it is read repeatedly."""
        if record.offset != self._unnamed_offset:
            self._unnamed_offset = record.offset
            self._log.event(
                BadRecord(
                    Topic.CONFIGURATION.value,
                    record.key,
                    record.offset,
                    'key',
                    'names no data centre',
                )
            )
