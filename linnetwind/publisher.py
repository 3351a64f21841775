"""Publishes a configuration change once, even if replies are lost."""

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
    """The log became unavailable; it may or may not contain the publish."""

    publish_id: str

    def describe(self) -> str:
        """Return the problem and the advice to retry."""
        return (
            f'publish {self.publish_id}: the log service is unavailable; '
            'the change may or may not have been stored; '
            'run the command again later'
        )


def read_state(
    log: LogPort,
) -> Result[ConfigState, LogUnavailable | Expired]:
    """Read the configuration in force.

    Args:
      log: The log service.

    Returns:
      The state at the end of the stream, or why it cannot be read.
    """
    return read_to_end(log, CONFIG_STREAM, 0).and_then(rebuild)


def prepare_publish(
    deployment: Deployment,
    state: ConfigState,
    based_on: int | None,
    publish_id: str,
    operator: str,
) -> Publish:
    """Build the publish that changes the state to the deployment.

    Args:
      deployment: The desired deployment.
      state: The state in force.
      based_on: The revision that the operator's files are based on, or None
        for the revision in force.
      publish_id: A unique id.
      operator: The operator's name, stored with the publish.

    Returns:
      A publish of the changed parts; without updates if no part changed.
    """
    updates = []
    for name, document in split_deployment(deployment).items():
        part = state.parts.get(name)
        if part is None:
            updates.append(PartUpdate(name, 0, document))
        elif part.document != document:
            base_revision = part.revision
            if based_on is not None:
                base_revision = min(part.revision, based_on)
            updates.append(PartUpdate(name, base_revision, document))
    return Publish(publish_id, operator, tuple(updates))


def publish_once(
    log: LogPort,
    state: ConfigState,
    publish: Publish,
    waits: Iterable[float],
    sleep: Callable[[float], None],
) -> Verdict | Unresolved:
    """Append a publish, and determine its verdict by reading the log.

    If the reply to an append is lost, the record may or may not be in the log,
    so the log is searched for it before the append is retried. If the record
    is stored twice nevertheless, the second copy is based on a revision that
    the first one has replaced, and the fold rejects it as a conflict.

    Args:
      log: The log service.
      state: The state from which the publish was prepared.
      publish: The publish.
      waits: The delay after each attempt, in seconds; one attempt per item.
      sleep: Sleeps for a number of seconds.

    Returns:
      The verdict, or `Unresolved` if no attempt has determined it.
    """
    record = CONFIG_CODEC.encode(publish)
    absent = True
    confirmed = False
    for delay in waits:
        if absent:
            confirmed = log.append(CONFIG_STREAM, [record]).is_ok()
        page = read_to_end(log, CONFIG_STREAM, state.next_offset)
        verdict = _verdict_in(page.unwrap_or(_EMPTY), state, publish.publish_id)
        if verdict is not None:
            return verdict
        # The append is retried only after a read that succeeded and did not
        # find the record.
        absent = page.is_ok() and not confirmed
        sleep(delay)
    return Unresolved(publish.publish_id)


def _verdict_in(
    page: Page, state: ConfigState, publish_id: str
) -> Verdict | None:
    for entry in page.entries:
        state, verdict = fold(state, entry)
        if verdict is not None and verdict.publish_id == publish_id:
            return verdict
    return None
