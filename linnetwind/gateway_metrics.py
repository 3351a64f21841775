"""Counters and histograms of a gateway, derived from the events that it logs.

Log and metrics cannot disagree, since each metric aggregates events. Labels
have few values: none holds a request, a customer or an instance.
"""

from collections.abc import Callable, Sequence
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from linnetwind.admission.retry_events import RetryDecided
from linnetwind.admission.service_groups import ClassState
from linnetwind.daemon_events import BadAnswer
from linnetwind.daemon_threads import RoundFailed
from linnetwind.event_log import LinesDropped
from linnetwind.gateway_events import (
    AttemptFailed,
    BackoffAsked,
    BadRecord,
    ConfigurationApplied,
    ConnectionsShed,
    DependencyBack,
    DependencyLost,
    EvacuationChanged,
    GroupLimitChanged,
    MapPlanned,
    MapStep,
    OrderFailed,
    RequestEnded,
    UpstreamCrashed,
)
from linnetwind.stream_gauges import StreamGauges

_MS_PER_S = 1_000
# Histogram buckets in seconds; the targets for the first event of a stream are
# around half a second.
_LATENCIES = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 4, 8)
# Histogram buckets in seconds; the target for pauses between events is about
# 0.1 s.
_PAUSES = (0.025, 0.05, 0.075, 0.1, 0.12, 0.15, 0.2, 0.3, 0.5, 1, 2)


class GatewayMetrics:
    """The metrics of one gateway."""

    def __init__(self) -> None:
        """Start at zero."""
        self._registry = CollectorRegistry()
        self._requests = self._counter('requests', 'Ended.', 'outcome')
        self._streams = self._counter(
            'streams', 'Ended.', 'priority', 'outcome'
        )
        self._attempts = self._counter('attempts_failed', 'Lost.', 'failure')
        self._retries = self._counter(
            'retries', 'Of requests.', 'service', 'decision'
        )
        self._crashes = self._counter('upstreams_crashed', 'Under requests.')
        self._backoffs = self._counter('backoffs_asked', 'Asked.', 'during')
        self._orders = self._counter('rank_orders_failed', 'Not done.', 'order')
        self._records = self._counter('bad_records', 'Of the store.', 'topic')
        self._answers = self._counter('bad_answers', 'Of engines.', 'call')
        self._plans = self._counter('expert_maps_planned', 'Planned maps.')
        self._copies = self._counter(
            'expert_copies_gigabytes', 'Copies of planned maps.'
        )
        self._rounds = self._counter('background_failures', 'Rounds.', 'work')
        self._dropped = self._counter('log_lines_dropped', 'Lines.')
        self._lost = self._counter('dependency_lost', 'Outages.', 'dependency')
        self._away = self._gauge('dependency_away', 'Away now.', 'dependency')
        self._evacuated = self._gauge('evacuated', 'In force.', 'site')
        self._limit = self._gauge('group_limit', 'Streams.', 'group')
        self._forecast = self._gauge(
            'group_pass_forecast_seconds', 'At the limit.', 'group'
        )
        self._version = self._gauge('config_version', 'In force.')
        self._cold = self._gauge('upstreams_cold', 'Cold now.')
        self._ejected = self._gauge('upstreams_ejected', 'Ejected now.')
        self._prompts = self._gauge('prompts_quarantined', 'Sets of parts.')
        self._open = self._gauge('connections_open', 'Of callers.')
        self._idle = self._gauge('connections_idle', 'Of callers.')
        self._shed = self._counter('connections_shed', 'Closed.', 'kind')
        self._bytes = self._gauge('bytes_in_hand', 'Memory for bodies.')
        self._first = self._histogram('first_byte_seconds', _LATENCIES)
        self._whole = self._histogram('request_seconds', _LATENCIES)
        self._queued = self._histogram('queued_seconds', _LATENCIES)
        self._pause = self._histogram('longest_pause_seconds', _PAUSES)
        self._stage = self._histogram('expert_map_stage_seconds', _LATENCIES)

    def observe(self, event: Any) -> None:
        """Update the metrics with an event.

        Args:
          event: Any event; events without a metric are ignored.
        """
        match event:
            case RequestEnded():
                self._observe_request(event)
            case MapPlanned():
                self._plans.inc()
                self._copies.inc(event.copies_gb)
            case GroupLimitChanged():
                self._observe_limit(event)
            case MapStep():
                self._stage.observe(event.took.total_seconds())
            case ConfigurationApplied():
                self._version.set(event.version)
            case EvacuationChanged():
                self._evacuated.labels(event.site).set(event.evacuated)
            case DependencyLost():
                self._lost.labels(event.dependency).inc()
                self._away.labels(event.dependency).set(1)
            case DependencyBack():
                self._away.labels(event.dependency).set(0)
            case RoundFailed():
                self._rounds.labels(event.work).inc()
            case LinesDropped():
                self._dropped.inc(event.count)
            case _:
                self._count_failure(event)

    def watch_cold(self, count: Callable[[], int]) -> None:
        """Set the source of the number of cold upstreams.

        Args:
          count: Returns how many upstreams are cold now.
        """
        self._cold.set_function(count)

    def watch_ejected(self, count: Callable[[], int]) -> None:
        """Set the source of the number of ejected upstreams.

        Args:
          count: Returns how many upstreams are ejected now.
        """
        self._ejected.set_function(count)

    def watch_prompts(self, count: Callable[[], int]) -> None:
        """Set the source of the number of quarantines of prompt parts.

        Args:
          count: Returns how many are in force now.
        """
        self._prompts.set_function(count)

    def watch_connections(
        self, count_open: Callable[[], int], count_idle: Callable[[], int]
    ) -> None:
        """Set the sources of the numbers of callers' connections.

        Args:
          count_open: Returns how many are open.
          count_idle: Returns how many of these wait for a request.
        """
        self._open.set_function(count_open)
        self._idle.set_function(count_idle)

    def watch_bytes(self, total: Callable[[], int]) -> None:
        """Set the source of the memory that bodies take.

        Args:
          total: Returns the memory in bytes.
        """
        self._bytes.set_function(total)

    def watch_streams(self, read: Callable[[], Sequence[ClassState]]) -> None:
        """Serve the waiting streams and the room of each priority.

        Args:
          read: Returns the present state of each priority.
        """
        self._registry.register(StreamGauges(read))

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _count_failure(self, event: Any) -> None:
        match event:
            case AttemptFailed():
                self._attempts.labels(event.failure).inc()
            case RetryDecided():
                self._retries.labels(event.service, event.decision).inc()
            case UpstreamCrashed():
                self._crashes.inc()
            case ConnectionsShed():
                self._shed.labels('idle').inc(event.closed_idle)
                self._shed.labels('unread').inc(event.closed_unread)
            case BackoffAsked():
                during = 'none' if event.left_before is None else 'backoff'
                self._backoffs.labels(during).inc()
            case OrderFailed():
                self._orders.labels(event.order).inc()
            case BadRecord():
                self._records.labels(event.topic).inc()
            case BadAnswer():
                self._answers.labels(event.call).inc()

    def _observe_limit(self, event: GroupLimitChanged) -> None:
        self._limit.labels(event.group).set(event.limit)
        seconds = event.forecast_ms / _MS_PER_S
        self._forecast.labels(event.group).set(seconds)

    def _observe_request(self, event: RequestEnded) -> None:
        self._requests.labels(event.outcome).inc()
        if event.priority is not None:
            self._streams.labels(str(event.priority), event.outcome).inc()
        self._whole.observe(event.took.total_seconds())
        if event.first_byte is not None:
            self._first.observe(event.first_byte.total_seconds())
        if event.queued:
            self._queued.observe(event.queued.total_seconds())
        if event.longest_pause:
            self._pause.observe(event.longest_pause.total_seconds())

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        full = f'linnetwind_{name}'
        return Counter(full, text, labels, registry=self._registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        full = f'linnetwind_{name}'
        return Gauge(full, text, labels, registry=self._registry)

    def _histogram(self, name: str, buckets: tuple[float, ...]) -> Histogram:
        full = f'linnetwind_{name}'
        return Histogram(full, name, buckets=buckets, registry=self._registry)
