"""One try of a caller's request at one upstream."""

from datetime import timedelta
from http import HTTPStatus

from linnetwind.answer_relay import AnswerRelay
from linnetwind.backpressure import note_backpressure
from linnetwind.call_policy import AttemptLost
from linnetwind.call_types import AnswerFacts, Forwarding
from linnetwind.caller_connection import CallerConnection
from linnetwind.crash_guard import note_if_crashed
from linnetwind.journey import CALLER_LEFT, Done, GatewayTools, Journey, as_lost
from linnetwind.routes import RouteKind
from linnetwind.upstream_call import Head, NotReached, OutOfTime, UpstreamCall
from linnetwind.upstream_list import Upstream

# The part of the time that is left after which an idempotent request at a
# silent upstream is given to another one, if the budget allows.
_PATIENCE = 0.4


class UpstreamAttempt:
    """Sends a request to an upstream and passes its answer on."""

    def __init__(
        self,
        tools: GatewayTools,
        connection: CallerConnection,
        journey: Journey,
        upstream: Upstream,
    ) -> None:
        """Prepare; nothing is sent yet.

        Args:
          tools: What every request needs.
          connection: The caller's connection.
          journey: The request; kept up to date.
          upstream: The upstream, at which the request is counted.
        """
        self._tools = tools
        self._connection = connection
        self._journey = journey
        self._upstream = upstream

    def run(self) -> Done | AttemptLost:
        """Make the attempt.

        Returns:
          How the request ended, or why there is no whole answer from here.
        """
        if self._connection.left():
            return CALLER_LEFT
        began = self._tools.clock.elapsed()
        call = self._tools.open_call(
            self._upstream.address,
            self._connection.fileno,
            self._tools.clock,
            self._journey.until - began,
        )
        if isinstance(call, NotReached):
            self._tools.state.note_miss(self._upstream)
            return AttemptLost(call.problem, may_have_run=False, reached=False)
        self._journey.sent_to.append(self._upstream.instance)
        self._journey.at = self._upstream
        try:
            ended = self._exchange(call)
        finally:
            call.close()
        self._note_end(call, ended, began)
        return ended

    def _note_end(
        self, call: UpstreamCall, ended: Done | AttemptLost, began: timedelta
    ) -> None:
        took = self._tools.clock.elapsed() - began
        self._tools.state.note_answer(
            self._upstream, took, failed=_is_failure(ended)
        )
        if call.broken is not None:
            note_if_crashed(
                self._tools, self._journey, self._upstream, call.broken, began
            )

    def _exchange(self, call: UpstreamCall) -> Done | AttemptLost:
        journey = self._journey
        now = self._tools.clock.elapsed()
        forwarding = Forwarding(
            self._upstream.instance,
            journey.customer,
            journey.until - now,
            journey.last_event,
        )
        headers = self._tools.dialect.write_forward(journey.request, forwarding)
        failed = call.send(journey.request, headers, journey.until)
        if failed is not None:
            return as_lost(failed)
        head = call.next(self._patience(now))
        has_time = self._tools.clock.elapsed() < journey.until
        if isinstance(head, OutOfTime) and has_time:
            return AttemptLost(
                'silent upstream', may_have_run=True, reached=True
            )
        if not isinstance(head, Head):
            return as_lost(head)
        return self._take_head(call, head)

    def _take_head(self, call: UpstreamCall, head: Head) -> Done | AttemptLost:
        answer = self._tools.dialect.read_answer(head.status, head.headers)
        if answer.not_executed or answer.misdirected:
            self._note_instance(answer)
            self._note_backpressure(answer)
            reason = f'upstream refused with {head.status}'
            return AttemptLost(reason, may_have_run=False, reached=True)
        if not self._is_ours(answer):
            return AttemptLost(
                'not an answer to this call', may_have_run=True, reached=True
            )
        self._note_backpressure(answer)
        return AnswerRelay(
            self._tools, self._connection, self._journey, call, head
        ).run()

    def _note_backpressure(self, answer: AnswerFacts) -> None:
        note_backpressure(self._tools, self._journey, self._upstream, answer)

    def _note_instance(self, answer: AnswerFacts) -> None:
        if not answer.misdirected or answer.instance is None:
            return
        if answer.instance != self._upstream.instance:
            self._tools.state.change_upstreams(
                lambda known: known.replace_instance(self._upstream)
            )

    def _patience(self, now: timedelta) -> timedelta:
        """Return until when the head of an answer is waited for."""
        journey = self._journey
        if journey.route.kind is not RouteKind.IDEMPOTENT:
            return journey.until
        if len(journey.sent_to) >= journey.route.max_attempts:
            return journey.until
        tried = frozenset((*journey.tried, self._upstream.instance))
        if not self._tools.state.candidates(journey.service, tried):
            return journey.until
        return now + (journey.until - now) * _PATIENCE

    def _is_ours(self, answer: AnswerFacts) -> bool:
        return answer.signed and answer.call_id == self._journey.facts.call_id


def _is_failure(ended: Done | AttemptLost) -> bool:
    match ended:
        case AttemptLost():
            return ended.may_have_run
        case Done():
            return ended.status >= HTTPStatus.INTERNAL_SERVER_ERROR
