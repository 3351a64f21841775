"""Calls to a worker of the platform about its rank.

With h11 instead of http.client, which brings the mail and TLS packages: 3 MB
in each rank agent.
"""

import json
import socket
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import h11

from linnetwind.address import Address
from linnetwind.rank_types import (
    ArmMap,
    DisarmMap,
    HoldPass,
    OrderResult,
    PrepareMap,
    RankCounts,
    RankExperts,
    RankOrder,
    RankReport,
    ReleasePass,
)

# A worker answers in a few milliseconds. An order that it leaves unanswered
# holds up the whole group while a pass is held, so that it is given up soon;
# from another host a lost packet may take longer to come again.
_REMOTE_TIMEOUT_MS = 150
REMOTE_TIMEOUT = timedelta(milliseconds=_REMOTE_TIMEOUT_MS)
_LOCAL_TIMEOUT_MS = 60
LOCAL_TIMEOUT = timedelta(milliseconds=_LOCAL_TIMEOUT_MS)
_OK = 200
_ACCEPTED = 202
_RESULTS = MappingProxyType(
    {_OK: OrderResult.DONE, _ACCEPTED: OrderResult.BEGUN}
)
_READ_BYTES = 65_536
_EPOCH = 'epoch'
_BORN = 'born'


class RankClient:
    """One connection to a worker, for one thread at a time."""

    def __init__(self, address: Address, timeout: timedelta) -> None:
        """Connect later, with the first call.

        Args:
          address: Where the worker listens.
          timeout: How long an answer may take.
        """
        self._address = address
        self._timeout = timeout
        self._sock: socket.socket | None = None
        self._http: h11.Connection | None = None

    def report(self) -> RankReport | None:
        """Return the rank's state, or None if there is no answer."""
        fields = self._json('/-/report')
        if fields is None or 'group' not in fields:
            return None
        return _report(fields)

    def counts(self) -> RankCounts | None:
        """Return the experts' counts, or None if there is no answer."""
        fields = self._json('/-/picked')
        if fields is None or 'counts' not in fields:
            return None
        return RankCounts(
            fields[_EPOCH],
            fields['step'],
            tuple(fields['counts']),
            fields.get(_BORN),
        )

    def experts(self) -> RankExperts | None:
        """Return the experts that the rank holds, or None."""
        fields = self._json('/-/picked?lists=1')
        if fields is None or 'mapping' not in fields:
            return None
        mapping = fields['mapping']
        return RankExperts(
            fields[_EPOCH],
            mapping['version'],
            tuple(tuple(layer) for layer in mapping['experts']),
            fields.get(_BORN),
        )

    def order(self, order: RankOrder) -> OrderResult:
        """Give an order.

        Args:
          order: The order.

        Returns:
          What became of it.
        """
        body = json.dumps(_order(order), separators=(',', ':')).encode()
        answer = self._call('POST', '/-/order', body)
        if answer is None:
            return OrderResult.NO_ANSWER
        return _RESULTS.get(answer[0], OrderResult.REFUSED)

    def _json(self, path: str) -> dict[str, Any] | None:
        answer = self._call('GET', path, None)
        if answer is None or answer[0] != _OK:
            return None
        try:
            return json.loads(answer[1])
        except ValueError:
            return None

    def _call(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes] | None:
        try:
            return self._exchange(method, path, body or b'')
        except (OSError, h11.ProtocolError):
            # The answer is lost with the connection; callers are told so by
            # None and log what it means to them.
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


def _report(fields: dict[str, Any]) -> RankReport:
    group = fields['group']
    armed, armed_step = _armed(fields.get('armed'))
    return RankReport(
        group=group['name'],
        rank=group['rank'],
        size=fields['size'],
        epoch=group[_EPOCH],
        is_open=group['state'] == 'open',
        step=fields['step'],
        sequence=fields['sequence'],
        is_copying=bool(fields['busy']),
        map_version=fields['mapping'],
        prepared=fields.get('preloaded'),
        armed=armed,
        armed_step=armed_step,
        held=fields.get('held'),
        pace=float(fields.get('pace') or 1),
        running=fields['activeRequests'],
        waiting=fields['queueDepth'],
        born_ms=fields.get(_BORN),
    )


def _armed(found: Any) -> tuple[int | None, int | None]:
    """Return version and step of what the worker calls armed."""
    match found:
        case [version, step]:
            return version, step
        case {'version': version, 'step': step}:
            return version, step
    return found, None


def _order(order: RankOrder) -> dict[str, Any]:
    match order:
        case PrepareMap(version, epoch, expect, maps):
            return {
                'operation': 'prepare',
                'version': version,
                'mapping': maps,
                _EPOCH: epoch,
                'expect': expect,
            }
        case ArmMap(version, step, epoch, expect):
            return {
                'operation': 'arm',
                'version': version,
                'step': step,
                _EPOCH: epoch,
                'expect': expect,
            }
        case DisarmMap(version, epoch):
            return {
                'operation': 'disarm',
                'version': version,
                _EPOCH: epoch,
            }
        case HoldPass(step, epoch, expect):
            return {
                'operation': 'hold',
                'step': step,
                _EPOCH: epoch,
                'expect': expect,
            }
        case ReleasePass(step, epoch):
            return {'operation': 'go', 'step': step, _EPOCH: epoch}
