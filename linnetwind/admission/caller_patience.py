"""How long callers wait for the next event of a stream before they leave."""

from datetime import timedelta

# Callers leave after a pause of this time, or of these multiples of the target
# for the first event or of the longest pause in time, whichever is longest.
MIN_PATIENCE = timedelta(seconds=2)
_PATIENCE_TARGETS = 4
_PATIENCE_GAPS = 8


def longest_silence(target: timedelta, gap: timedelta) -> timedelta:
    """Return how long a caller waits without an event.

    Args:
      target: The latency up to which a first event is on time.
      gap: The longest pause between events that is in time.

    Returns:
      The time after which the caller leaves.
    """
    return max(MIN_PATIENCE, _PATIENCE_TARGETS * target, _PATIENCE_GAPS * gap)
