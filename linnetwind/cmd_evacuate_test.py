"""Tests of the command that takes a data centre out of service."""

from dataclasses import replace

import pytest
from typer.testing import CliRunner

from linnetwind.cli import app
from linnetwind.config import Base, Deployment, Service, Site, Upstream
from linnetwind.config_fold import CONFIG_STREAM, Invalid
from linnetwind.config_merge import effective_base
from linnetwind.publisher import prepare_publish, publish_once, read_state
from standins.fakes import FakeLog

UPSTREAMS = (Upstream('a-1', 'h1', 'a'), Upstream('b-1', 'h2', 'b'))
BASE = Base(
    'demo',
    (Site('a', 'land'), Site('b', 'land')),
    (Service('plain', 'plain', UPSTREAMS),),
    (),
)


class Operator:
    """Publishes to a log in memory and runs the command."""

    def __init__(self, log):
        """Publish the first configuration."""
        self.log = log
        self.publish(BASE)

    def publish(self, base):
        """Publish a base like the command `publish`; return the verdict."""
        state = self.state()
        change = prepare_publish(Deployment(base), state, None, 'id', 'ann')
        return publish_once(self.log, state, change, [0], lambda _wait: None)

    def run(self, command, *options):
        """Run a command; return its exit code and what it shows."""
        arguments = [command, *options, '--log', '127.0.0.1:1']
        shown = CliRunner().invoke(app, arguments)
        return shown.exit_code, shown.output

    def state(self):
        """Return the state in force."""
        return read_state(self.log).unwrap()

    def drained(self):
        """Return the upstreams that are sent no requests from site `a`."""
        return effective_base(self.state().deployment, 'a').drained


@pytest.fixture(name='operator')
def _operator(monkeypatch):
    log = FakeLog()
    for module in ('cmd_evacuate', 'cmd_status'):
        monkeypatch.setattr(
            f'linnetwind.{module}.make_log', lambda *_address: log
        )
    return Operator(log)


def test_an_evacuated_site_gets_no_requests_until_it_is_cancelled(operator):
    assert operator.run('evacuate', 'b') == (0, 'accepted as revision 2\n')
    assert operator.drained() == ('b-1',)
    (evacuated,) = operator.state().deployment.evacuated
    shown = operator.run('status')[1]
    assert f'site b: evacuated by {evacuated.operator} at 20' in shown
    assert operator.run('evacuate', 'b', '--cancel')[0] == 0
    assert operator.drained() == ()
    assert operator.run('evacuate', 'b')[0] == 0
    assert operator.drained() == ('b-1',)


def test_a_wrong_name_is_refused_with_those_that_exist(operator):
    code, shown = operator.run('evacuate', 'c')
    assert (code, shown) == (
        2,
        'refused: c: no such data centre; there are: a, b\n',
    )
    assert len(operator.log.streams[CONFIG_STREAM]) == 1


def test_the_same_request_again_changes_nothing(operator):
    """Guards against an operator who runs the command again to be safe."""
    operator.run('evacuate', 'b')
    again = operator.run('evacuate', 'b')
    assert again == (0, 'revision 2: nothing to change\n')
    assert operator.run('evacuate', 'a', '--cancel')[1] == again[1]


def test_publishing_the_files_does_not_cancel_an_evacuation(operator):
    operator.run('evacuate', 'b')
    operator.publish(replace(BASE, deployment='other'))
    assert operator.state().revision == 3
    assert operator.drained() == ('b-1',)


def test_the_files_cannot_remove_an_evacuated_site(operator):
    operator.run('evacuate', 'b')
    smaller = replace(
        BASE,
        sites=BASE.sites[:1],
        services=(Service('plain', 'plain', UPSTREAMS[:1]),),
    )
    refused = operator.publish(smaller)
    assert isinstance(refused, Invalid)
    assert refused.describe() == "evacuated: site: 'b' names no site"


def test_an_unavailable_log_is_reported(operator):
    operator.log.down = True
    assert operator.run('evacuate', 'b')[0] == 4
