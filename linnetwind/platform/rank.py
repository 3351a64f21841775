"""Builds the rank agent with the platform's adapters."""

from linnetwind.address import Address
from linnetwind.clock import SystemClock
from linnetwind.event_log import stdout_log
from linnetwind.platform.rank_client import LOCAL_TIMEOUT, RankClient
from linnetwind.platform.settings import read_settings
from linnetwind.rank_agent import RankAgent


def run_rank() -> None:
    """Run the rank agent until it is stopped."""
    settings = read_settings()
    clock = SystemClock()
    log = stdout_log(settings.name, clock)
    agent = RankAgent(
        settings.name,
        Address(settings.ip, settings.first_port),
        lambda: RankClient(settings.upstream, LOCAL_TIMEOUT, log),
        clock,
        log,
    )
    agent.run()
