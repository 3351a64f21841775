"""Client of the platform's store: reads topics and appends records."""

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
_ERA_HEADER = 'Store-Era'
_OK = 200
_GONE = 410
# The store responds within milliseconds, or within the wait that a read asks
# for. If it sends nothing for this time beyond that, the connection is dead.
_TIMEOUT_MARGIN_MS = 600
_TIMEOUT_MARGIN = timedelta(milliseconds=_TIMEOUT_MARGIN_MS)


class StoreClient:
    """A connection to the store, to be used by one thread."""

    def __init__(self, address: Address) -> None:
        """Prepare the connection; the first call opens it.

        Args:
          address: The address of the store.
        """
        self._address = address
        self._connection: HTTPConnection | None = None
        self._era = 0

    def newest(self, topic: Topic) -> Records | StoreUnavailable:
        """Return the newest record of each key of a topic.

        Args:
          topic: The topic to read.

        Returns:
          The records, or the reason why they cannot be read.
        """
        records: dict[str, KeyedRecord] = {}
        first_page: Page | None = None
        after: str | None = None
        while True:
            era = self._era
            page = self._page(topic, after)
            if isinstance(page, StoreUnavailable):
                return page
            if first_page is not None and self._era != era:
                return StoreUnavailable('the pages are of two eras')
            # The pages are not a consistent snapshot. Records that are appended
            # while later pages are read lie after the first page's end offset,
            # so a reader that continues from there sees them.
            first_page = first_page or page
            page_records = {
                each.key: _to_record(each) for each in page.elements
            }
            if not page.has_more or not page_records:
                records.update(page_records)
                return Records(
                    tuple(records.values()), first_page.end_offset, self._era
                )
            if page_records.keys() <= records.keys():
                return StoreUnavailable('the pages of newest records repeat')
            records.update(page_records)
            after = page.elements[-1].key

    def read(
        self, topic: Topic, start: int, wait: timedelta
    ) -> Records | Trimmed | StoreUnavailable:
        """Return the records of a topic from an offset on.

        Args:
          topic: The topic to read.
          start: The offset of the first record.
          wait: How long the store may wait for a record at that offset.

        Returns:
          The records, `Trimmed` if the record at `start` was deleted, or the
          reason why they cannot be read.
        """
        query = {
            'topic': _TOPICS[topic],
            'part': 0,
            'from': start,
            'waitMs': int(wait / timedelta(milliseconds=1)),
        }
        response = self._get('/-/log-read', query, wait)
        if isinstance(response, StoreUnavailable):
            return response
        status, body = response
        if status == _GONE:
            return Trimmed()
        if status != _OK:
            return _unexpected_status(status)
        records = decode_records(body, start)
        if isinstance(records, BadFormat):
            return StoreUnavailable(f'bad records: {records.describe()}')
        return Records(records, start + len(records), self._era)

    def append(
        self, topic: Topic, key: str, content: bytes | None
    ) -> StoreUnavailable | None:
        """Append a record to a topic.

        Args:
          topic: One of the gateways' own topics.
          key: The record's key, at most 255 bytes.
          content: The record's content; None deletes the key.

        Returns:
          None if the store has confirmed the record, else the reason why it
          is unknown whether the store has it.
        """
        query = urlencode({'topic': _TOPICS[topic], 'part': 0})
        response = self._call(
            'POST',
            f'/-/log-append?{query}',
            timedelta(),
            encode_record(key, content),
        )
        if isinstance(response, StoreUnavailable):
            return response
        status, _body = response
        return None if status == _OK else _unexpected_status(status)

    def _page(self, topic: Topic, after: str | None) -> Page | StoreUnavailable:
        query = {'topic': _TOPICS[topic], 'part': 0}
        if after is not None:
            query['after'] = after
        response = self._get('/-/log-newest', query, timedelta())
        if isinstance(response, StoreUnavailable):
            return response
        status, body = response
        if status != _OK:
            return _unexpected_status(status)
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
        timeout_s = (wait + _TIMEOUT_MARGIN).total_seconds()
        try:
            response = self._send(method, target, timeout_s, body)
            content = response.read()
        except (OSError, HTTPException) as error:
            self._close()
            return StoreUnavailable(repr(error))
        era_text = response.getheader(_ERA_HEADER, '')
        if era_text.isdecimal():
            self._era = int(era_text)
        return response.status, content

    def _send(
        self, method: str, target: str, timeout_s: float, body: bytes | None
    ) -> HTTPResponse:
        if self._connection is None:
            self._connection = HTTPConnection(
                self._address.ip, self._address.port, timeout=timeout_s
            )
        if self._connection.sock is not None:
            self._connection.sock.settimeout(timeout_s)
        self._connection.request(method, target, body)
        return self._connection.getresponse()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _unexpected_status(status: int) -> StoreUnavailable:
    return StoreUnavailable(f'the store answered {status}')


def _to_record(element: Element) -> KeyedRecord:
    return KeyedRecord(element.key, element.offset, element.value or None)
