"""The entry daemon's Prometheus metrics."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from linnetwind.outcome import Reason


class EntryMetrics:
    """Counts of answers and failures, and the revision in force."""

    def __init__(self) -> None:
        """Register the metrics in a registry of their own."""
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

    def answered(self, service: str) -> None:
        """Count a whole answer.

        Args:
          service: The service's name.
        """
        self._answered.labels(service).inc()

    def failed(self, outcome: str, reason: Reason) -> None:
        """Count a request that was given up.

        Args:
          outcome: The outcome's type.
          reason: Why.
        """
        self._failed.labels(outcome, str(reason)).inc()

    def in_force(self, revision: int) -> None:
        """Show the configuration revision.

        Args:
          revision: The revision.
        """
        self._revision.set(revision)
