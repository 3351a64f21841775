"""The groups of which upstreams of a side daemon are ranks."""

from collections.abc import Sequence
from concurrent.futures import Executor

from linnetwind.address import Address
from linnetwind.background import in_background
from linnetwind.clock import Clock
from linnetwind.config import Base, Group
from linnetwind.group_planner import GroupPlanner
from linnetwind.group_runner import GroupRunner
from linnetwind.hosts_port import Host
from linnetwind.log_port import LogPort
from linnetwind.messages import GroupNote
from linnetwind.peer_connection import Identity
from linnetwind.peer_links import PeerLinks
from linnetwind.rank_engine import RankEngine
from linnetwind.settings import ServedUpstream


class SideGroups:
    """Starts and updates a runner for each rank that this side serves."""

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        served: Sequence[ServedUpstream],
        executor: Executor,
        clock: Clock,
        log: LogPort,
    ) -> None:
        """Create the object without groups; `update_base` adds them.

        Args:
          identity: The identity of this daemon.
          key: The fleet key.
          served: The upstreams of this host.
          executor: The executor that connects to other side daemons.
          clock: The clock for the runners.
          log: The log service with the streams of the groups.
        """
        self._identity = identity
        self._served = served
        self._clock = clock
        self._log = log
        self._addresses: dict[str, Address] = {}
        self._runners: dict[tuple[str, int], GroupRunner] = {}
        self._peers = PeerLinks(
            identity, key, executor, clock, self._address_of
        )

    def update_hosts(self, hosts: Sequence[Host]) -> None:
        """Update the addresses of the other side daemons.

        Args:
          hosts: The latest host list of the platform; empty if it cannot be
            read. Known addresses are kept.
        """
        for host in hosts:
            self._addresses[host.name] = host.address

    def update_base(self, base: Base) -> None:
        """Start runners for new groups, and update those of known groups.

        Args:
          base: The configuration in force.
        """
        hosts = {
            upstream.name: upstream.host
            for service in base.services
            for upstream in service.upstreams
        }
        for group in base.groups:
            for served in self._served:
                if served.name in group.ranks and served.rank_engine:
                    self._update_group(group, served, hosts)

    def deliver_note(self, note: GroupNote) -> None:
        """Deliver a note from another side daemon to the runner it addresses.

        Args:
          note: The note; dropped if its target has no runner here.
        """
        runner = self._runners.get((note.group, note.target))
        if runner is not None:
            runner.enqueue_note(note)

    def stop(self) -> None:
        """Stop all runners."""
        for runner in self._runners.values():
            runner.stop()

    def _address_of(self, host: str) -> Address | None:
        return self._addresses.get(host)

    def _update_group(
        self, group: Group, served: ServedUpstream, hosts: dict[str, str]
    ) -> None:
        rank = group.ranks.index(served.name)
        runner = self._runners.get((group.name, rank))
        if runner is not None:
            runner.update_group(group)
            return
        runner = self._make_runner(group, rank, served, hosts)
        self._runners[group.name, rank] = runner
        in_background(runner.run, f'group-{group.name}')

    def _make_runner(
        self,
        group: Group,
        rank: int,
        served: ServedUpstream,
        hosts: dict[str, str],
    ) -> GroupRunner:
        planner = GroupPlanner(
            group, rank, self._identity.incarnation, self._log, self._clock
        )
        engine = RankEngine(served.rank_engine or served.address, rank)
        return GroupRunner(
            group,
            rank,
            tuple(hosts[name] for name in group.ranks),
            engine,
            self._peers.send,
            planner,
            self._clock,
        )
