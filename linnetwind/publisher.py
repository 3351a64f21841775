"""Publishing a change once, whatever happens to the log's replies."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Result

from linnetwind.config import Deployment
from linnetwind.config_fold import (
    CONFIG_CODEC,
    CONFIG_STREAM,
    ConfigState,
    Expired,
    PartUpdate,
    Publish,
    Verdict,
    fold,
    rebuild,
    split_deployment,
)
from linnetwind.errors import LogUnavailable
from linnetwind.log_port import LogPort, Page, read_to_end

_EMPTY = Page(0, 0, ())


@dataclass(frozen=True)
class Unresolved:
    """The log went out; the publish may or may not be in it."""

    publish_id: str

    def describe(self) -> str:
        """Return what is known and what to do."""
        return (
            f'publish {self.publish_id}: the log service is out; '
            'it is not known whether the change is in; run it again later'
        )


def read_state(
    log: LogPort,
) -> Result[ConfigState, LogUnavailable | Expired]:
    """Read the configuration in force.

    Args:
      log: The log service.

    Returns:
      The state at the end of the stream, or why it cannot be had.
    """
    return read_to_end(log, CONFIG_STREAM, 0).and_then(rebuild)


def prepare(
    deployment: Deployment,
    state: ConfigState,
    based_on: int | None,
    publish_id: str,
    operator: str,
) -> Publish:
    """Make the publish that turns the state into the deployment.

    Args:
      deployment: What the operator wants.
      state: What is in force.
      based_on: The revision that the operator's files were made from, or
        None for what is in force.
      publish_id: An id that no other publish has.
      operator: Who publishes, for the record.

    Returns:
      A publish of the changed parts; it has no updates if none changed.
    """
    updates = []
    for name, document in split_deployment(deployment).items():
        part = state.parts.get(name)
        if part is None:
            updates.append(PartUpdate(name, 0, document))
        elif part.document != document:
            known = part.revision
            if based_on is not None:
                known = min(part.revision, based_on)
            updates.append(PartUpdate(name, known, document))
    return Publish(publish_id, operator, tuple(updates))


def publish_once(
    log: LogPort,
    state: ConfigState,
    publish: Publish,
    waits: Iterable[float],
    sleep: Callable[[float], None],
) -> Verdict | Unresolved:
    """Append a publish, and find its verdict by reading it back.

    A reply that is lost leaves open whether the record is in the log, so
    it is looked for before it is appended again. Should it be in the log
    twice after all, the second one builds on a revision that the first
    has replaced, and the fold passes over it.

    Args:
      log: The log service.
      state: What was in force when the publish was prepared.
      publish: The publish.
      waits: The pauses between tries, in seconds; their end is the last.
      sleep: Waits a number of seconds.

    Returns:
      The verdict, or that it is not known.
    """
    record = CONFIG_CODEC.encode(publish)
    absent = True
    confirmed = False
    for pause in waits:
        if absent:
            confirmed = log.append(CONFIG_STREAM, [record]).is_ok()
        page = read_to_end(log, CONFIG_STREAM, state.next_offset)
        verdict = _verdict_in(page.unwrap_or(_EMPTY), state, publish.publish_id)
        if verdict is not None:
            return verdict
        # Only a read that reached the log and did not find the record
        # allows appending it again.
        absent = page.is_ok() and not confirmed
        sleep(pause)
    return Unresolved(publish.publish_id)


def _verdict_in(
    page: Page, state: ConfigState, publish_id: str
) -> Verdict | None:
    for entry in page.entries:
        state, verdict = fold(state, entry)
        if verdict is not None and verdict.publish_id == publish_id:
            return verdict
    return None
