"""Keeps a gateway's configuration and upstreams in step with the store."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.bad_format import BadFormat
from linnetwind.clock import Clock
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.evacuation_feed import EvacuationFeed
from linnetwind.event_log import EventLog
from linnetwind.gateway_events import (
    BadRecord,
    ConfigurationApplied,
    UpstreamsChanged,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.peers.peer_table import PeerState
from linnetwind.record_follower import PeerRecords, RecordFollower, TopicUpdate
from linnetwind.record_store import KeyedRecord, Records, RecordStore, Topic
from linnetwind.routes import RouteTable
from linnetwind.store_rate_limit import (
    StoreRateLimit,
    configuration_rate_limit,
    upstreams_rate_limit,
)
from linnetwind.upstreams.upstream_list import UpstreamList, UpstreamRecord

# How often a daemon checks whether a peer has a newer configuration. It fetches
# one from a peer if the store has not delivered it by the next check.
_CONFIGURATION_CHECK_MS = 200
_CONFIGURATION_CHECK_INTERVAL = timedelta(milliseconds=_CONFIGURATION_CHECK_MS)


@dataclass(frozen=True, slots=True)
class FeedPorts:
    """The interfaces for reading and decoding records.

    The decoders raise no exception, whatever a record holds. The key of an
    evacuation is `evacuation_prefix` and the name of the data centre. `site` is
    the data centre of this daemon.
    """

    open_store: Callable[[], RecordStore]
    configuration_key: str
    decode_table: Callable[[bytes], RouteTable | BadFormat]
    decode_upstream: Callable[[KeyedRecord], UpstreamRecord | BadFormat]
    evacuation_prefix: str
    site: str


class GatewayFeeds:
    """Follows the topics of the store and updates the gateway's state."""

    def __init__(
        self,
        ports: FeedPorts,
        state: GatewayState,
        peers: PeerRecords,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Start with nothing read.

        Args:
          ports: The interfaces for reading and decoding records.
          state: The state to update.
          peers: Queried for records while the store does not respond.
          clock: The clock.
          log: The log.
        """
        self._ports = ports
        self._peers = peers
        self._newer_advertised = 0
        self._in_force: KeyedRecord | None = None
        self._state = state
        self._evacuations = EvacuationFeed(
            ports.evacuation_prefix, ports.site, state, log
        )
        self._clock = clock
        self._log = log
        self._bad: dict[Topic, dict[str, BadRecord]] = {
            topic: {} for topic in Topic
        }
        self._followers = {
            topic: RecordFollower(
                topic,
                ports.open_store(),
                peers,
                apply,
                self._pace_for_fleet(pace),
                clock,
                log,
            )
            for topic, apply, pace in (
                (
                    Topic.CONFIGURATION,
                    self._apply_tables,
                    configuration_rate_limit,
                ),
                (Topic.UPSTREAMS, self._apply_upstreams, upstreams_rate_limit),
            )
        }

    def start(self, threads: DaemonThreads) -> None:
        """Start the threads that follow the topics.

        Args:
          threads: Starts threads.
        """
        for topic, follower in self._followers.items():
            threads.repeat_forever(follower.poll_once, f'store-{topic.value}')
        threads.repeat_forever(
            self._fetch_newer_configuration, 'configuration-behind'
        )

    def copy(self, topic: Topic) -> Records | None:
        """Return the records that were read of a topic, for a peer.

        The configuration is the one in force on this daemon. A store that was
        restored from an older copy may lack it until the operator writes it
        again, and a daemon that starts meanwhile would serve with an older
        configuration. The evacuations are those that this daemon follows: it
        may have learned of some from peers.

        Args:
          topic: The topic.

        Returns:
          The records, or None if none were read.
        """
        copied = self._followers[topic].copy()
        if topic is not Topic.CONFIGURATION or copied is None:
            return copied
        read = [each for each in copied.records if self._is_table(each)]
        records = self._evacuations.records(copied.era)
        records.extend(read if self._in_force is None else [self._in_force])
        records.sort(key=lambda record: record.offset)
        return replace(copied, records=tuple(records))

    def apply_advertised(self, state: PeerState) -> None:
        """Apply what a peer's state tells of the store's records.

        Args:
          state: The state.
        """
        if state.evacuations:
            self._evacuations.apply_advertised(state.name, state.evacuations)

    def _pace_for_fleet(
        self, pace: Callable[[int], StoreRateLimit]
    ) -> Callable[[], StoreRateLimit]:
        def pace_for_fleet() -> StoreRateLimit:  # noqa: WPS430
            live = self._state.peer_table.live(self._clock.elapsed())
            return pace(1 + len(live))

        return pace_for_fleet

    def _fetch_newer_configuration(self) -> timedelta:
        """Fetch a newer configuration from a peer if the store lacks it.

        A connection to the store may stop delivering without a reset. Until
        that is detected, the daemon would serve with an old configuration and
        reject callers whose keys are new.

        Returns:
          The time to wait before the next check.
        """
        live = self._state.peer_table.live(self._clock.elapsed())
        advertised = max((each.config_version for each in live), default=0)
        table = self._state.table
        if table is None or advertised <= table.version:
            return _CONFIGURATION_CHECK_INTERVAL
        # If it was advertised at the previous check already, the store has had
        # enough time to deliver it.
        if advertised == self._newer_advertised:
            fetched = self._peers.newest(Topic.CONFIGURATION)
            if isinstance(fetched, Records):
                news = TopicUpdate(
                    fetched.records,
                    fetched.end,
                    whole=True,
                    after_outage=False,
                    source='peer',
                    era=fetched.era,
                    is_copy=True,
                )
                self._apply_tables(news)
        self._newer_advertised = advertised
        return _CONFIGURATION_CHECK_INTERVAL

    def _apply_tables(self, news: TopicUpdate) -> None:
        # Callers are accepted as soon as there is a configuration.
        self._evacuations.apply_update(news)
        for record in news.records:
            if self._is_table(record) and record.content is not None:
                self._apply_table(record, news.source)

    def _is_table(self, record: KeyedRecord) -> bool:
        return record.key == self._ports.configuration_key

    def _apply_table(self, record: KeyedRecord, source: str) -> None:
        table = self._ports.decode_table(record.content)
        if isinstance(table, BadFormat):
            # The previous configuration stays in force.
            self._record_bad(Topic.CONFIGURATION, record, table)
            return
        before = self._state.table
        if self._state.apply_table(table):
            self._in_force = record
            self._state.change_upstreams(
                lambda known: known.restrict_to_services(table.services)
            )
            self._log.event(
                ConfigurationApplied(
                    table.version,
                    before.version if before else 0,
                    source,
                    sum(len(each) for each in table.routes_by_host.values()),
                    len(table.customers_by_key),
                    table.requires_key,
                )
            )

    def _apply_upstreams(self, news: TopicUpdate) -> None:
        decoded = [self._decode_upstream(each) for each in news.records]
        if news.whole:
            self._discard_bad({each.instance for each in decoded})
        before = self._state.change_upstreams(
            lambda known: self._merge(known, decoded, news)
        )
        self._log_changed_upstreams(before, news)
        self._evacuations.check_names()

    def _decode_upstream(self, record: KeyedRecord) -> UpstreamRecord:
        """Decode a record; a malformed one removes the upstream of its key.

        If the last valid record of the key stayed in force, daemons that have
        read it and daemons that read the list later would use different
        upstreams.
        """
        decoded = self._ports.decode_upstream(record)
        if isinstance(decoded, BadFormat):
            self._record_bad(Topic.UPSTREAMS, record, decoded)
            return UpstreamRecord(record.key, record.offset, None)
        self._bad[Topic.UPSTREAMS].pop(record.key, None)
        return decoded

    def _record_bad(
        self, topic: Topic, record: KeyedRecord, problem: BadFormat
    ) -> None:
        """Log a malformed record once, although lists are read repeatedly."""
        bad = BadRecord(
            topic.value,
            record.key,
            record.offset,
            problem.field,
            problem.reason,
        )
        if self._bad[topic].get(record.key) != bad:
            self._bad[topic][record.key] = bad
            self._log.event(bad)

    def _discard_bad(self, listed: set[str]) -> None:
        """Discard malformed records of removed keys, which would accumulate."""
        bad = self._bad[Topic.UPSTREAMS]
        self._bad[Topic.UPSTREAMS] = {
            key: bad[key] for key in bad if key in listed
        }

    def _merge(
        self,
        known: UpstreamList,
        decoded: list[UpstreamRecord],
        news: TopicUpdate,
    ) -> UpstreamList:
        if not news.whole:
            # After a change of the era the whole list is read first.
            if news.era != known.era:
                return known
            return known.fold_records(decoded, news.end)
        return known.replace_all(
            decoded,
            news.end,
            outage=news.after_outage,
            now=self._clock.elapsed(),
            era=news.era,
        )

    def _log_changed_upstreams(
        self, before: UpstreamList, news: TopicUpdate
    ) -> None:
        active_before = _active_incarnations(before)
        active_now = _active_incarnations(self._state.upstreams)
        if active_before != active_now:
            added = tuple(sorted(active_now - active_before))
            removed = tuple(sorted(active_before - active_now))
            self._log.event(
                UpstreamsChanged(news.source, news.end, added, removed)
            )


def _active_incarnations(upstreams: UpstreamList) -> set[str]:
    return {
        each.upstream.life
        for each in upstreams.records.values()
        if each.upstream is not None and not each.upstream.draining
    }
