"""What a gateway follows in the store: configuration and upstreams."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from linnetwind.bad_format import BadFormat
from linnetwind.clock import Clock
from linnetwind.daemon_threads import DaemonThreads
from linnetwind.gateway_events import (
    BadRecord,
    ConfigurationApplied,
    UpstreamsChanged,
)
from linnetwind.gateway_state import GatewayState
from linnetwind.record_follower import News, PeerCopies, RecordFollower
from linnetwind.record_store import KeyedRecord, Records, RecordStore, Topic
from linnetwind.routes import RouteTable
from linnetwind.step_log import StepLog
from linnetwind.store_pace import (
    StorePace,
    configuration_pace,
    upstreams_pace,
)
from linnetwind.upstream_list import Registered, UpstreamList

# How often a daemon looks whether a peer has a newer configuration, and how
# long it leaves the store to bring it first.
_BEHIND_LOOK_MS = 200
_BEHIND_LOOK = timedelta(milliseconds=_BEHIND_LOOK_MS)


@dataclass(frozen=True, slots=True)
class FeedPorts:
    """How records are read and decoded.

    The decoders raise nothing, whatever a record holds.
    """

    open_store: Callable[[], RecordStore]
    configuration_key: str
    decode_table: Callable[[bytes], RouteTable | BadFormat]
    decode_upstream: Callable[[KeyedRecord], Registered | BadFormat]


class GatewayFeeds:
    """Follows the store and keeps the gateway's state up to date."""

    def __init__(
        self,
        ports: FeedPorts,
        state: GatewayState,
        peers: PeerCopies,
        clock: Clock,
        log: StepLog,
    ) -> None:
        """Start with nothing read.

        Args:
          ports: How records are read and decoded.
          state: The state to keep up to date.
          peers: Asked while the store does not answer.
          clock: The clock.
          log: The log.
        """
        self._ports = ports
        self._peers = peers
        self._newer_told = 0
        self._in_force: KeyedRecord | None = None
        self._state = state
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
                take,
                self._paced(pace),
                clock,
                log,
            )
            for topic, take, pace in (
                (Topic.CONFIGURATION, self._take_tables, configuration_pace),
                (Topic.UPSTREAMS, self._take_upstreams, upstreams_pace),
            )
        }

    def start(self, threads: DaemonThreads) -> None:
        """Start following.

        Args:
          threads: Starts threads.
        """
        for topic, follower in self._followers.items():
            threads.for_ever(follower.follow_once, f'store-{topic.value}')
        threads.for_ever(self._catch_up, 'configuration-behind')

    def copy(self, topic: Topic) -> Records | None:
        """Return what has been read of a topic, for a peer.

        Args:
          topic: The topic.

        Returns:
          The records, or None if nothing was read. The configuration is the
          one in force here: a store that came back older may not have it
          until the operator writes it again, and a daemon that starts
          meanwhile would serve by the one before.
        """
        found = self._followers[topic].copy()
        if topic is not Topic.CONFIGURATION or found is None:
            return found
        if self._in_force is None:
            return found
        return replace(found, records=(self._in_force,))

    def _paced(
        self, pace: Callable[[int], StorePace]
    ) -> Callable[[], StorePace]:
        def paced() -> StorePace:  # noqa: WPS430
            live = self._state.peer_table.live(self._clock.elapsed())
            return pace(1 + len(live))

        return paced

    def _catch_up(self) -> timedelta:
        """Take a configuration from a peer that had it before this daemon.

        A connection to the store may go silent without a reset; until that
        shows, the daemon would serve by the configuration before, and refuse
        callers whose keys are new.

        Returns:
          How long to wait before the next look.
        """
        live = self._state.peer_table.live(self._clock.elapsed())
        told = max((each.config_version for each in live), default=0)
        table = self._state.table
        if table is None or told <= table.version:
            return _BEHIND_LOOK
        # Told at the look before already: the store had its time.
        if told == self._newer_told:
            found = self._peers.newest(Topic.CONFIGURATION)
            if isinstance(found, Records):
                news = News(found.records, found.end, True, False, 'peer')
                self._take_tables(news)
        self._newer_told = told
        return _BEHIND_LOOK

    def _take_tables(self, news: News) -> None:
        for record in news.records:
            wanted = record.key == self._ports.configuration_key
            if wanted and record.content is not None:
                self._take_table(record, news.source)

    def _take_table(self, record: KeyedRecord, source: str) -> None:
        table = self._ports.decode_table(record.content)
        if isinstance(table, BadFormat):
            # The configuration before it stays in force.
            self._note_bad(Topic.CONFIGURATION, record, table)
            return
        before = self._state.table
        if self._state.apply_table(table):
            self._in_force = record
            self._state.change_upstreams(
                lambda known: known.name_services(table.services)
            )
            self._log.event(
                ConfigurationApplied(
                    table.version,
                    before.version if before else 0,
                    source,
                    sum(len(each) for each in table.routes_by_host.values()),
                    len(table.customers_by_key),
                )
            )

    def _take_upstreams(self, news: News) -> None:
        registered = [self._registered(each) for each in news.records]
        if news.whole:
            self._forget_bad({each.instance for each in registered})
        before = self._state.change_upstreams(
            lambda known: self._merge(known, registered, news)
        )
        self._log_change(before, news)

    def _registered(self, record: KeyedRecord) -> Registered:
        """Return what a record says of its key; a bad one drops it.

        If the key's last good entry stayed in force, daemons that have read
        it and daemons that read the whole list later would use different
        upstreams.
        """
        decoded = self._ports.decode_upstream(record)
        if isinstance(decoded, BadFormat):
            self._note_bad(Topic.UPSTREAMS, record, decoded)
            return Registered(record.key, record.offset, None)
        self._bad[Topic.UPSTREAMS].pop(record.key, None)
        return decoded

    def _note_bad(
        self, topic: Topic, record: KeyedRecord, problem: BadFormat
    ) -> None:
        """Log a bad record once: whole lists are read again and again."""
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

    def _forget_bad(self, listed: set[str]) -> None:
        """Forget the bad records of keys that are gone, which have no end."""
        bad = self._bad[Topic.UPSTREAMS]
        self._bad[Topic.UPSTREAMS] = {
            key: bad[key] for key in bad if key in listed
        }

    def _merge(
        self, known: UpstreamList, registered: list[Registered], news: News
    ) -> UpstreamList:
        if not news.whole:
            # Records of another era are read whole first.
            if news.era != known.era:
                return known
            return known.take(registered, news.end)
        return known.take_whole(
            registered,
            news.end,
            outage=news.after_outage,
            now=self._clock.elapsed(),
            era=news.era,
        )

    def _log_change(self, before: UpstreamList, news: News) -> None:
        old = _ready(before)
        new = _ready(self._state.upstreams)
        if old != new:
            added = tuple(sorted(new - old))
            removed = tuple(sorted(old - new))
            self._log.event(
                UpstreamsChanged(news.source, news.end, added, removed)
            )


def _ready(upstreams: UpstreamList) -> set[str]:
    return {
        each.upstream.life
        for each in upstreams.records.values()
        if each.upstream is not None and not each.upstream.draining
    }
