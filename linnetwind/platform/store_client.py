"""Calls to the platform's store: the log's newest records and reads."""

import base64
import json
import struct
from collections.abc import Iterator
from datetime import timedelta
from http.client import HTTPConnection, HTTPException, HTTPResponse
from types import MappingProxyType
from urllib.parse import urlencode

from linnetwind.address import Address
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
    Trimmed,
)

_TOPICS = MappingProxyType(
    {Topic.CONFIGURATION: 'keyed.op', Topic.UPSTREAMS: 'keyed.servers'}
)
_OK = 200
_GONE = 410
# The store answers in milliseconds; beyond the time that a read waits there,
# silence for so long means that the connection is dead.
_MARGIN_MS = 600
_MARGIN = timedelta(milliseconds=_MARGIN_MS)
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class StoreClient:
    """One connection to the store, for one thread."""

    def __init__(self, address: Address) -> None:
        """Connect later, with the first call.

        Args:
          address: Where the store is.
        """
        self._address = address
        self._connection: HTTPConnection | None = None

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return the newest record of each key of a topic.

        Args:
          topic: The topic.

        Returns:
          The records, or why there are none.
        """
        records: list[KeyedRecord] = []
        after: str | None = None
        while True:
            query = {'topic': _TOPICS[topic], 'part': 0}
            if after is not None:
                query['after'] = after
            found = self._get('/-/log-newest', query, timedelta())
            if isinstance(found, StoreUnavailable):
                return found
            status, body = found
            if status != _OK:
                return _refused(status)
            page = json.loads(body)
            records.extend(_element(each) for each in page['elements'])
            if not page.get('hasMore') or not page['elements']:
                return Records(tuple(records), page['endOffset'])
            after = page['elements'][-1]['key']

    def read(
        self, topic: Topic, start: int, wait: timedelta
    ) -> Records | Trimmed | StoreUnavailable:
        """Return the records from an offset on.

        Args:
          topic: The topic.
          start: The offset.
          wait: How long the store may wait for the first record.

        Returns:
          The records, that they are deleted, or why there are none.
        """
        query = {
            'topic': _TOPICS[topic],
            'part': 0,
            'from': start,
            'waitMs': int(wait / timedelta(milliseconds=1)),
        }
        found = self._get('/-/log-read', query, wait)
        if isinstance(found, StoreUnavailable):
            return found
        status, body = found
        if status == _GONE:
            return Trimmed()
        if status != _OK:
            return _refused(status)
        try:
            records = tuple(_records(body, start))
        except (struct.error, IndexError) as error:
            return StoreUnavailable(f'not the records of a log: {error}')
        return Records(records, start + len(records))

    def _get(
        self, path: str, query: dict[str, object], wait: timedelta
    ) -> tuple[int, bytes] | StoreUnavailable:
        limit = (wait + _MARGIN).total_seconds()
        try:
            response = self._send(f'{path}?{urlencode(query)}', limit)
            return response.status, response.read()
        except (OSError, HTTPException) as error:
            self._close()
            return StoreUnavailable(repr(error))

    def _send(self, target: str, limit: float) -> HTTPResponse:
        if self._connection is None:
            self._connection = HTTPConnection(
                self._address.ip, self._address.port, timeout=limit
            )
        if self._connection.sock is not None:
            self._connection.sock.settimeout(limit)
        self._connection.request('GET', target)
        return self._connection.getresponse()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _refused(status: int) -> StoreUnavailable:
    return StoreUnavailable(f'the store answered {status}')


def _element(fields: dict[str, object]) -> KeyedRecord:
    content = fields.get('value')
    decoded = base64.b64decode(content) if content else None
    return KeyedRecord(str(fields['key']), int(fields['offset']), decoded)


def _records(body: bytes, start: int) -> Iterator[KeyedRecord]:
    """Yield keyed records: a length, a key's length, the key, the content."""
    place = _OFFSETS.size
    offset = start
    while place < len(body):
        length = _LENGTH.unpack_from(body, place)[0]
        place += _LENGTH.size
        record = body[place : place + length]
        place += length
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        yield KeyedRecord(key, offset, record[key_end:] or None)
        offset += 1
