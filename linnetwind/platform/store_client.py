"""Calls to the platform's store: newest records, reads and appends."""

from datetime import timedelta
from http.client import HTTPConnection, HTTPException, HTTPResponse
from types import MappingProxyType
from urllib.parse import urlencode

from linnetwind.address import Address
from linnetwind.bad_format import BadFormat
from linnetwind.platform.store_format import (
    Element,
    Page,
    decode_page,
    decode_records,
    encode_record,
)
from linnetwind.record_store import (
    KeyedRecord,
    Records,
    StoreUnavailable,
    Topic,
    Trimmed,
)

_TOPICS = MappingProxyType(
    {
        Topic.CONFIGURATION: 'keyed.op',
        Topic.UPSTREAMS: 'keyed.servers',
        Topic.QUARANTINE: 'keyed.quarantine',
    }
)
_ERA = 'Store-Era'
_OK = 200
_GONE = 410
# The store answers in milliseconds; beyond the time that a read waits there,
# silence for so long means that the connection is dead.
_MARGIN_MS = 600
_MARGIN = timedelta(milliseconds=_MARGIN_MS)


class StoreClient:
    """One connection to the store, for one thread."""

    def __init__(self, address: Address) -> None:
        """Connect later, with the first call.

        Args:
          address: Where the store is.
        """
        self._address = address
        self._connection: HTTPConnection | None = None
        self._era = 0

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return the newest record of each key of a topic.

        Args:
          topic: The topic.

        Returns:
          The records, or why there are none.
        """
        records: dict[str, KeyedRecord] = {}
        first: Page | None = None
        after: str | None = None
        while True:
            era = self._era
            page = self._page(topic, after)
            if isinstance(page, StoreUnavailable):
                return page
            if first is not None and self._era != era:
                return StoreUnavailable('the pages are of two eras')
            # The pages are not of one moment. What is written to keys of the
            # first while the others are read comes after its end offset.
            first = first or page
            found = {each.key: _keyed(each) for each in page.elements}
            if not page.has_more or not found:
                records.update(found)
                return Records(
                    tuple(records.values()), first.end_offset, self._era
                )
            if found.keys() <= records.keys():
                return StoreUnavailable('the pages of newest records repeat')
            records.update(found)
            after = page.elements[-1].key

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
        records = decode_records(body, start)
        if isinstance(records, BadFormat):
            return StoreUnavailable(f'bad records: {records.describe()}')
        return Records(records, start + len(records), self._era)

    def append(
        self, topic: Topic, key: str, content: bytes | None
    ) -> StoreUnavailable | None:
        """Write a record.

        Args:
          topic: One of the gateways' own topics.
          key: The record's key, at most 255 bytes.
          content: The record; None drops the key.

        Returns:
          None once the store has it, or why that is not known.
        """
        query = urlencode({'topic': _TOPICS[topic], 'part': 0})
        found = self._call(
            'POST',
            f'/-/log-append?{query}',
            timedelta(),
            encode_record(key, content),
        )
        if isinstance(found, StoreUnavailable):
            return found
        status, _body = found
        return None if status == _OK else _refused(status)

    def _page(self, topic: Topic, after: str | None) -> Page | StoreUnavailable:
        query = {'topic': _TOPICS[topic], 'part': 0}
        if after is not None:
            query['after'] = after
        found = self._get('/-/log-newest', query, timedelta())
        if isinstance(found, StoreUnavailable):
            return found
        status, body = found
        if status != _OK:
            return _refused(status)
        page = decode_page(body)
        if isinstance(page, BadFormat):
            return StoreUnavailable(f'a bad page: {page.describe()}')
        return page

    def _get(
        self, path: str, query: dict[str, object], wait: timedelta
    ) -> tuple[int, bytes] | StoreUnavailable:
        return self._call('GET', f'{path}?{urlencode(query)}', wait)

    def _call(
        self,
        method: str,
        target: str,
        wait: timedelta,
        body: bytes | None = None,
    ) -> tuple[int, bytes] | StoreUnavailable:
        limit = (wait + _MARGIN).total_seconds()
        try:
            response = self._send(method, target, limit, body)
            content = response.read()
        except (OSError, HTTPException) as error:
            self._close()
            return StoreUnavailable(repr(error))
        stated = response.getheader(_ERA, '')
        if stated.isdecimal():
            self._era = int(stated)
        return response.status, content

    def _send(
        self, method: str, target: str, limit: float, body: bytes | None
    ) -> HTTPResponse:
        if self._connection is None:
            self._connection = HTTPConnection(
                self._address.ip, self._address.port, timeout=limit
            )
        if self._connection.sock is not None:
            self._connection.sock.settimeout(limit)
        self._connection.request(method, target, body)
        return self._connection.getresponse()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _refused(status: int) -> StoreUnavailable:
    return StoreUnavailable(f'the store answered {status}')


def _keyed(element: Element) -> KeyedRecord:
    return KeyedRecord(element.key, element.offset, element.value or None)
