"""Sends queries and orders about a rank to the platform's worker.

Uses h11 instead of http.client, which imports the mail and TLS packages and
would cost each rank agent 3 MB of memory.
"""

import json
import socket
from collections.abc import Callable
from datetime import timedelta
from types import MappingProxyType

import h11

from linnetwind.address import Address
from linnetwind.bad_format import BadFormat
from linnetwind.daemon_events import BadAnswer
from linnetwind.event_log import EventLog
from linnetwind.platform.decoding import Decoded
from linnetwind.platform.rank_format import (
    decode_counts,
    decode_experts,
    decode_report,
    order_fields,
)
from linnetwind.rank_types import (
    OrderResult,
    RankCounts,
    RankExperts,
    RankOrder,
    RankReport,
)

# A worker responds within a few milliseconds. While a pass is held, an order
# without a response stalls the whole group, so the timeouts are short. The one
# for another host leaves time to retransmit a lost packet.
_REMOTE_TIMEOUT_MS = 150
REMOTE_TIMEOUT = timedelta(milliseconds=_REMOTE_TIMEOUT_MS)
_LOCAL_TIMEOUT_MS = 60
LOCAL_TIMEOUT = timedelta(milliseconds=_LOCAL_TIMEOUT_MS)
_OK = 200
_ACCEPTED = 202
# In this order: the worker does not know such an order, its rank is in another
# state, the order's fencing epoch is outdated, another worker is meant.
_REFUSALS = (400, 409, 412, 421)
_RESULTS = MappingProxyType(
    {
        _OK: OrderResult.DONE,
        _ACCEPTED: OrderResult.STARTED,
        **dict.fromkeys(_REFUSALS, OrderResult.REFUSED),
    }
)
_READ_BYTES = 65_536


class RankClient:
    """A connection to a worker, to be used by one thread at a time."""

    def __init__(
        self, address: Address, timeout: timedelta, log: EventLog
    ) -> None:
        """Prepare the connection; the first call opens it.

        Args:
          address: The address on which the worker listens.
          timeout: The timeout of connecting and of each read.
          log: Receives an event when a response is malformed.
        """
        self._address = address
        self._timeout = timeout
        self._log = log
        self._problems: dict[str, BadFormat] = {}
        self._sock: socket.socket | None = None
        self._http: h11.Connection | None = None

    def report(self) -> RankReport | None:
        """Return the state of the rank, or None without a valid response."""
        return self._get('report', '/-/report', decode_report)

    def counts(self) -> RankCounts | None:
        """Return the experts' counts, or None without a valid response."""
        return self._get('counts', '/-/picked', decode_counts)

    def experts(self) -> RankExperts | None:
        """Return the rank's experts, or None without a valid response."""
        return self._get('experts', '/-/picked?lists=1', decode_experts)

    def order(self, order: RankOrder) -> OrderResult:
        """Send an order to the worker.

        A response with an unspecified status is treated as no response: in
        both cases the worker may have carried out the order or may still do so.

        Args:
          order: The order.

        Returns:
          The result of the order, as far as the response tells it.
        """
        fields = order_fields(order)
        body = json.dumps(fields, separators=(',', ':')).encode()
        answer = self._call('POST', '/-/order', body)
        if answer is None:
            return OrderResult.NO_ANSWER
        status = answer[0]
        problem = None
        if status not in _RESULTS:
            problem = BadFormat('status', f'{status} says nothing of orders')
        self._log_problem('order', problem)
        return _RESULTS.get(status, OrderResult.NO_ANSWER)

    def _get(
        self,
        call: str,
        path: str,
        decode: Callable[[bytes], Decoded | BadFormat],
    ) -> Decoded | None:
        answer = self._call('GET', path, None)
        if answer is None or answer[0] != _OK:
            return None
        decoded = decode(answer[1])
        if isinstance(decoded, BadFormat):
            self._log_problem(call, decoded)
            return None
        self._log_problem(call, None)
        return decoded

    def _log_problem(self, call: str, problem: BadFormat | None) -> None:
        """Log a malformed response unless the last one had the same error."""
        previous = self._problems.pop(call, None)
        if problem is None:
            return
        self._problems[call] = problem
        if problem != previous:
            self._log.event(
                BadAnswer(
                    str(self._address), call, problem.field, problem.reason
                )
            )

    def _call(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes] | None:
        try:
            return self._exchange(method, path, body or b'')
        except (OSError, h11.ProtocolError):
            # Without the connection there is no response. The caller gets None
            # and logs the consequence for its own work.
            self._close()
            return None

    def _exchange(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        if self._sock is None:
            self._sock = socket.create_connection(
                (self._address.ip, self._address.port),
                self._timeout.total_seconds(),
            )
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._http = h11.Connection(h11.CLIENT)
        headers = [('Host', str(self._address))]
        if body:
            headers.append(('Content-Type', 'application/json'))
            headers.append(('Content-Length', str(len(body))))
        head = h11.Request(method=method, target=path, headers=headers)
        parts = [head, h11.Data(data=body), h11.EndOfMessage()]
        sent = b''.join(self._http.send(part) or b'' for part in parts)
        self._sock.sendall(sent)
        answer = self._receive()
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._close()
        return answer

    def _receive(self) -> tuple[int, bytes]:
        status = 0
        body = bytearray()
        event = self._http.next_event()
        while not isinstance(event, h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._http.receive_data(self._sock.recv(_READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            event = self._http.next_event()
        return status, bytes(body)

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None
