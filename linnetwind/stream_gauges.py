"""Gauges of the streams that wait for permits, read when they are served."""

from collections.abc import Callable, Iterator, Sequence

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from linnetwind.admission.service_groups import ClassState

_LABELS = ('priority',)


class StreamGauges(Collector):
    """The waiting streams and the permits of each priority."""

    def __init__(self, read: Callable[[], Sequence[ClassState]]) -> None:
        """Serve gauges.

        Args:
          read: Returns the present state of each priority.
        """
        self._read = read

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Read the states.

        Yields:
          The gauges with a value for each priority.
        """
        waiting = GaugeMetricFamily(
            'linnetwind_streams_waiting', 'For a permit.', labels=_LABELS
        )
        room = GaugeMetricFamily(
            'linnetwind_room', 'Permits to use now.', labels=_LABELS
        )
        for each in self._read():
            label = [str(each.priority)]
            waiting.add_metric(label, each.waiting)
            room.add_metric(label, each.room)
        yield from (waiting, room)
