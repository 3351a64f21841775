"""The groups in which a side daemon's upstreams take part."""

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
from linnetwind.peer import Identity
from linnetwind.peers import PeerLinks
from linnetwind.rank_engine import RankEngine
from linnetwind.settings import ServedUpstream


class SideGroups:
    """Starts a runner for each rank that this side serves."""

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        served: Sequence[ServedUpstream],
        executor: Executor,
        clock: Clock,
        log: LogPort,
    ) -> None:
        """Start without groups; the configuration names them.

        Args:
          identity: Who this daemon is.
          key: The fleet key.
          served: The upstreams of this host.
          executor: Connects to other sides.
          clock: For the runners.
          log: For the groups' streams.
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

    def take_hosts(self, hosts: Sequence[Host]) -> None:
        """Take note of the addresses of the other sides.

        Args:
          hosts: The platform's latest list; empty if it cannot be read.
        """
        for host in hosts:
            self._addresses[host.name] = host.address

    def take_base(self, base: Base) -> None:
        """Start runners for new groups, and pass on changed settings.

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
                    self._take_group(group, served, hosts)

    def take_note(self, note: GroupNote) -> None:
        """Take a note from another side.

        Args:
          note: The note.
        """
        runner = self._runners.get((note.group, note.target))
        if runner is not None:
            runner.take(note)

    def stop(self) -> None:
        """Stop all runners."""
        for runner in self._runners.values():
            runner.stop()

    def _address_of(self, host: str) -> Address | None:
        return self._addresses.get(host)

    def _take_group(
        self, group: Group, served: ServedUpstream, hosts: dict[str, str]
    ) -> None:
        rank = group.ranks.index(served.name)
        runner = self._runners.get((group.name, rank))
        if runner is not None:
            runner.take_group(group)
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
