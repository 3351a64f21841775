"""Configurations take hold and stay, with real processes."""

import json
import signal

from standins.cluster import IP, ask, wait_until
from standins.cluster_calls import AUTH
from standins.session import in_force


def test_new_host_gets_the_configuration_during_a_log_outage(cluster):
    # The log is out and an entry daemon is replaced: no disk, no log. It
    # takes what is in force from a neighbour.
    cluster.log.fault(down=True)
    cluster.nodes['entry-0'].kill()
    entry = cluster.restart('entry-0')
    cluster.wait_ready(entry, 'codigos')
    assert ask(entry.port, 'GET', '/codigos/cards/1', None, AUTH)[0] == 200


def test_paused_daemon_that_wakes_does_not_bring_an_old_state_back(cluster):
    # An entry daemon is stopped while a drain is published. It wakes with
    # the old configuration and must not send work by it.
    entry = cluster.nodes['entry-0']
    entry.signal(signal.SIGSTOP)
    cluster.deployment['drained'] = ['codigos-01']
    assert cluster.publish().returncode == 0
    wait_until(lambda: in_force(cluster.nodes['side-codigos-01']) == 2)
    entry.signal(signal.SIGCONT)
    for _call in range(10):
        assert ask(entry.port, 'GET', '/codigos/cards/3', None, AUTH)[0] == 200
    port = cluster.nodes['codigos-01'].port
    assert json.loads(ask(port, 'GET', '/record')[2]) == []
    wait_until(lambda: in_force(entry) == 2)


def test_lost_reply_of_a_publish_is_resolved(cluster):
    # The append is stored and its reply lost. The command looks for its
    # record before it would append again, and tells the verdict.
    cluster.deployment['drained'] = ['codigos-02']
    cluster.log.fault(lose_append_replies=1)
    published = cluster.publish()
    assert published.returncode == 0
    assert 'accepted as revision 2' in published.stdout
    again = cluster.publish()
    assert 'revision 2: nothing to change' in again.stdout


def test_operators_race_and_the_loser_is_told(cluster):
    folder = cluster.write_deployment()
    log = f'{IP}:{cluster.log.port}'
    cluster.deployment['drained'] = ['codigos-01']
    assert cluster.publish().returncode == 0
    cluster.deployment['drained'] = ['codigos-02']
    cluster.write_deployment()
    stale = cluster.command(
        'publish', str(folder), '--log', log, '--based-on', '1'
    )
    assert stale.returncode == 3
    assert 'revision 2 is in force' in stale.stderr


def test_stranger_without_the_fleet_key_is_turned_away(cluster):
    # Not all upstreams check who gives them an order, so the side must.
    from linnetwind.address import Address
    from linnetwind.link import open_link
    from linnetwind.peer_connection import Identity

    side = cluster.nodes['side-codigos-01']
    stranger = Identity('entry', 'stranger', 'x')
    opened = open_link(
        Address(IP, side.port), stranger, b'wrong', lambda _link, _message: None
    )
    assert opened.is_err()
