from datetime import UTC, datetime

from result import Ok

from linnetwind import link_pool
from linnetwind.address import Address
from linnetwind.clock import ManualClock
from linnetwind.config import Upstream
from linnetwind.fleet import Fleet
from linnetwind.hosts_port import Host, HostState
from linnetwind.link_pool import LinkPool
from linnetwind.messages import Challenge
from linnetwind.peer_connection import Identity

UPSTREAM = Upstream('cards-1', 'host-1', 'site', 4)


class FakeLink:
    """A link whose loss the test triggers."""

    def __init__(self, on_lost) -> None:
        self.open = True
        self.peer = Challenge(1, 'side-1', 'life', b'', b'', 0)
        self._on_lost = on_lost

    def break_connection(self):
        self.open = False
        self._on_lost(self)

    def close(self):
        self.open = False


class InlineExecutor:
    """An executor that runs work in the calling thread."""

    def submit(self, work, *args):
        work(*args)


def _pool(monkeypatch, *, lost_at_once=False):
    links = []

    def open_link(_address, _identity, _key, _notice, on_lost):
        link = FakeLink(on_lost)
        if lost_at_once:
            link.break_connection()
        links.append(link)
        return Ok(link)

    monkeypatch.setattr(link_pool, 'open_link', open_link)
    clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    fleet = Fleet(clock)
    fleet.update_hosts(
        [Host('host-1', 'site', Address('127.0.0.1', 1), HostState.LIVE)]
    )
    pool = LinkPool(
        Identity('entry', 'entry-1', 'life'),
        'site',
        b'key',
        fleet,
        InlineExecutor(),
        clock,
        lambda _host, _link, _message: None,
    )
    return pool, fleet, links


def test_host_is_no_candidate_once_its_link_is_lost(monkeypatch):
    # Guards against upstreams of a killed side daemon remaining candidates
    # until the next `maintain`, after a tenth of a second or longer on a busy
    # host. Calls to them fail at once, so that they seem to have the least
    # load and get most calls and retries: 196 of 630 callers were refused.
    pool, fleet, links = _pool(monkeypatch)
    pool.maintain()
    assert fleet.is_live(UPSTREAM)
    links[0].break_connection()
    assert not fleet.is_live(UPSTREAM)
    assert pool.links == {}


def test_late_loss_of_an_old_link_keeps_the_new_one(monkeypatch):
    # The pool reconnected to the host before the loss of the old link was
    # detected.
    pool, fleet, links = _pool(monkeypatch)
    pool.maintain()
    links[0].open = False
    pool.maintain()
    assert len(links) == 2
    links[0].break_connection()
    assert fleet.is_live(UPSTREAM)
    assert list(pool.links.values()) == [links[1]]


def test_link_that_is_lost_before_it_is_stored_is_not_stored(monkeypatch):
    # The side daemon crashes between the handshake and the moment at which
    # the pool stores the link. If the link were stored, its host would remain
    # a candidate, since the loss of the link was reported before.
    pool, fleet, _links = _pool(monkeypatch, lost_at_once=True)
    pool.maintain()
    assert not fleet.is_live(UPSTREAM)
    assert pool.links == {}
