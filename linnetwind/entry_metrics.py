"""The entry daemon's Prometheus metrics."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from linnetwind.outcome import Reason


class EntryMetrics:
    """Counters of responses and failures, and the configuration revision."""

    def __init__(self) -> None:
        """Register the metrics in a new registry."""
        self.registry = CollectorRegistry()
        self._answered = Counter(
            'linnetwind_answered',
            'Requests answered in full.',
            ['service'],
            registry=self.registry,
        )
        self._failed = Counter(
            'linnetwind_failed',
            'Requests given up, by whether they ran and why.',
            ['outcome', 'reason'],
            registry=self.registry,
        )
        self._revision = Gauge(
            'linnetwind_config_revision',
            'The configuration revision in force.',
            registry=self.registry,
        )

    def record_answered(self, service: str) -> None:
        """Count a complete response.

        Args:
          service: The name of the service.
        """
        self._answered.labels(service).inc()

    def record_failed(self, outcome: str, reason: Reason) -> None:
        """Count a failed request.

        Args:
          outcome: The name of the outcome's type.
          reason: The reason of the failure.
        """
        self._failed.labels(outcome, str(reason)).inc()

    def record_revision(self, revision: int) -> None:
        """Set the metric of the configuration revision.

        Args:
          revision: The revision in force.
        """
        self._revision.set(revision)
