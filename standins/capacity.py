"""Writes docs/CAPACITY.md from slopes that it measures in the same run."""

import platform
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from standins.capacity_processes import processes
from standins.capacity_slopes import (
    Slope,
    configuration,
    fleet,
    frames,
    keys,
    plans,
)

# The letter's size, and what is assumed beyond it.
ENTRIES, SIDES, REGIONS = 40, 360, 2
WORKERS, CUSTOMERS, CHANGES = 600, 1200, 930
REQUESTS, TOKENS = 990, 430_000
RANKS, LAYERS, GROUPS = 128, 60, 18
KEYED_SHARE = 0.1
KEY_HOURS = 24
PLAN_SECONDS = 10
RATIO_OVERLAYS = 0.9
REPORT_SECONDS = 0.015 * SIDES
HOSTS_SECONDS = 0.02 * SIDES

CORE, MEMORY, NETWORK = 2.9, 64.0, 14.0

NEAR_SIDES = SIDES // REGIONS
KEYED = REQUESTS * KEYED_SHARE
KEYED_SIDES = 60


@dataclass(frozen=True)
class Line:
    """One line of a role's table."""

    what: str
    mechanism: str
    core: float = 0
    memory: float = 0
    network: float = 0
    kind: str = 'extrapolated'


def entry_lines(by: dict[str, Slope], sizes: dict[str, int]) -> list[Line]:
    """Return the control lines of an entry daemon."""
    reports = NEAR_SIDES * (WORKERS / SIDES) / REPORT_SECONDS
    per_report = by['entry_idle'].slope / 100 / 2 * 1000
    change_kb = by['config_bytes'].slope * CUSTOMERS
    changes = CHANGES / 86_400
    return [
        Line(
            'process with links to the sides of its region',
            f'{NEAR_SIDES} links; other regions only when none of a service is reached',
            0,
            by['entry_memory'].base + by['entry_memory'].slope * NEAR_SIDES,
        ),
        Line(
            'polls of log and host list, housekeeping',
            'the log each second, the host list less often as it grows',
            by['entry_idle'].base,
            0,
            sizes['log poll, both ways'] / 1000
            + SIDES * sizes['host list, per host'] / 1000 / HOSTS_SECONDS,
        ),
        Line(
            f'{reports:.0f} load reports a second',
            f'each side reports every {REPORT_SECONDS:.1f} s, an interval that grows with the fleet',
            reports * per_report / 10,
            by['fleet_memory'].slope * WORKERS,
            reports * sizes['load report'] / 1000,
        ),
        Line(
            f'{CHANGES} changes a day, a tenth of the base',
            'one record in the log, polled; the whole is checked in each process',
            changes * (by['config_cpu'].slope * CUSTOMERS) / 10,
            by['config_memory'].slope * CUSTOMERS,
            changes * change_kb * (1 - RATIO_OVERLAYS)
            + changes * RATIO_OVERLAYS,
        ),
        Line(
            "shares of customers' limits",
            'demand once a second to homes found by hash, for customers seen',
            0.1,
            0,
            25
            * (sizes['demand, per customer'] + sizes['share, per customer'])
            / 1000,
            'assumed: 25 customers a second, 1 ms',
        ),
    ]


def side_lines(by: dict[str, Slope], sizes: dict[str, int]) -> list[Line]:
    """Return the control lines of a side daemon."""
    per_upstream = WORKERS / SIDES
    near_entries = ENTRIES / REGIONS
    rows = KEYED / KEYED_SIDES
    keys_held = rows * 3600 * KEY_HOURS
    change = CHANGES / 86_400
    return [
        Line(
            'process with its entry daemons',
            f'{near_entries:.0f} links of its region',
            0,
            by['side_memory'].base + 0.06 * near_entries,
            0,
            'extrapolated; 60 KB a link from the design notes',
        ),
        Line(
            'polls of log and host list, housekeeping',
            'the log each second, the host list less often as it grows',
            max(by['side_idle'].base, 0),
            0,
            sizes['log poll, both ways'] / 1000
            + SIDES * sizes['host list, per host'] / 1000 / HOSTS_SECONDS,
        ),
        Line(
            'load reports to its entry daemons',
            f'every {REPORT_SECONDS:.1f} s',
            near_entries * per_upstream / REPORT_SECONDS * 0.05 / 10,
            0,
            near_entries
            * per_upstream
            / REPORT_SECONDS
            * sizes['load report']
            / 1000,
            'assumed: 0.05 ms a report sent',
        ),
        Line(
            f'{CHANGES} changes a day',
            'as at the entry daemon',
            change * by['config_cpu'].slope * CUSTOMERS / 10,
            by['config_memory'].slope * CUSTOMERS,
            change
            * by['config_bytes'].slope
            * CUSTOMERS
            * (1 - RATIO_OVERLAYS),
        ),
        Line(
            'status of its rank',
            'a request to the engine on the same host every 50 ms',
            20 * 0.4 / 10,
            0,
            0,
            'assumed: 0.4 ms a request',
        ),
        Line(
            f'idempotency keys: {keys_held:,.0f} held',
            f'{rows:.1f} keys a second at each of {KEYED_SIDES} sides of plain services, kept for {KEY_HOURS} h',
            0,
            keys_held * by['key_memory'].slope,
            rows * 0.5,
            'extrapolated; a tenth of requests keyed is assumed',
        ),
    ]


def coordinator_lines(
    by: dict[str, Slope], sizes: dict[str, int]
) -> list[Line]:
    """Return what a coordinator adds to its side daemon."""
    plan_ms = by['plan_cpu'].base + by['plan_cpu'].slope * LAYERS
    counts_kb = LAYERS * 64 * 5 / 1000
    switch = (
        RANKS
        * (
            sizes['switch: arm (128 ranks)']
            + 2 * sizes['switch: query']
            + sizes['switch: vote']
        )
        / 1000
    )
    return [
        Line(
            f'a plan for {RANKS} ranks, {LAYERS} layers',
            f'every {PLAN_SECONDS} s',
            plan_ms / PLAN_SECONDS / 10,
            5,
            counts_kb / PLAN_SECONDS,
            'measured time; memory assumed',
        ),
        Line(
            'a switch',
            'at most one a plan; notes between sides',
            RANKS * 4 * 0.1 / PLAN_SECONDS / 10,
            0,
            switch / PLAN_SECONDS,
            'assumed: 0.1 ms a note',
        ),
        Line(
            'links to the other sides of the group',
            f'{RANKS - 1} links, opened when needed',
            0,
            0.06 * (RANKS - 1),
        ),
    ]


def table(title: str, lines: list[Line]) -> Iterator[str]:
    """Yield a role's table with its sums against the budget."""
    yield f'### {title}'
    yield ''
    yield '| what | mechanism | % of a core | MB | KB/s | figure is |'
    yield '| --- | --- | --- | --- | --- | --- |'
    for line in lines:
        yield f'| {line.what} | {line.mechanism} | {line.core:.2f} | {line.memory:.1f} | {line.network:.2f} | {line.kind} |'
    sums = [
        (sum(line.core for line in lines), CORE),
        (sum(line.memory for line in lines), MEMORY),
        (sum(line.network for line in lines), NETWORK),
    ]
    cells = [
        f'**{found:.1f} of {most}{" OVER" if found > most else ""}**'
        for found, most in sums
    ]
    yield f'| **sum of budget** | | {cells[0]} | {cells[1]} | {cells[2]} | |'
    yield ''


def page(
    slopes: list[Slope], sizes: dict[str, int], delays: list[float]
) -> Iterator[str]:
    """Yield the lines of the page."""
    by = {each.name: each for each in slopes}
    yield "# Capacity at the letter's size"
    yield ''
    yield 'Written whole by `make capacity`, which measures the slopes below with the'
    yield f'real processes and small stand-ins ({platform.python_implementation()} {platform.python_version()}).'
    yield 'A figure is count × slope; "extrapolated" means that the slope was measured'
    yield 'at smaller sizes, "assumed" that it was not measured.'
    yield ''
    yield f'Assumed division of the 400 daemons: {ENTRIES} entry, {SIDES} side, before {WORKERS}'
    yield f'workers ({WORKERS / SIDES:.2f} a side), {GROUPS} groups of {RANKS} ranks, {REGIONS} regions.'
    yield 'There are no further roles: a coordinator is one side of its group, snapshots'
    yield "are written by whichever daemon first finds that one is due, and operators'"
    yield "commands run on the operators' own machines."
    yield ''
    yield '## Slopes'
    yield ''
    yield '| name | unit | at zero | slope | largest miss of the fit | points |'
    yield '| --- | --- | --- | --- | --- | --- |'
    for each in slopes:
        points = ', '.join(f'{x:g}: {y:.3g}' for x, y in each.points)
        yield f'| {each.name} | {each.unit} | {each.base:.3g} | {each.slope:.3g} | {each.error:.2g} | {points} |'
    yield ''
    yield '| message | bytes |'
    yield '| --- | --- |'
    for name, size in sizes.items():
        yield f'| {name} | {size} |'
    yield ''
    yield '## Control, by role'
    yield ''
    yield from table('Entry daemon', entry_lines(by, sizes))
    yield from table(
        'Side daemon of a plain service or a rank (all lines that can meet)',
        side_lines(by, sizes),
    )
    yield from table(
        'Group coordinator, besides its side daemon',
        coordinator_lines(by, sizes),
    )
    yield from over_budget(by)
    yield from data_path(by)
    yield from log_service()
    yield from in_force_times(delays)
    yield from failures(by)


def over_budget(by: dict[str, Slope]) -> Iterator[str]:
    """Yield what is over budget and what will be done."""
    before = by['entry_memory'].base + by['entry_memory'].slope * SIDES
    after = by['entry_memory'].base + by['entry_memory'].slope * NEAR_SIDES
    old_reports = NEAR_SIDES * REGIONS * 2 * by['entry_idle'].slope / 2
    yield 'What is over budget, and the change of design that brings it under:'
    yield ''
    yield f'- Entry memory: links to all sides would be {before:.0f} MB. Done now: links to the own'
    yield f'  region only, {after:.0f} MB. Left: the process itself, {by["entry_memory"].base:.0f} MB, most of it imported'
    yield '  modules; and one thread for all links of a daemon in place of two for each.'
    yield f'- Load reports: at two a second from every side they would be {old_reports:.0f} % of a core. Done'
    yield f'  now: an interval that grows with the fleet, {REPORT_SECONDS:.1f} s at this size; routing goes by the'
    yield '  own calls in between (docs/MEASUREMENTS.md, reports 5 s old).'
    yield '- The host list as a whole each second would be 41 KB/s. Done now: an interval that grows'
    yield f'  with the list, {HOSTS_SECONDS:.1f} s at this size; the sides tell of their leaving themselves.'
    yield '- Idempotency keys held for 24 h. To be done: keep the answers for an hour and only the'
    yield '  digests after that, in one array for each slot (16 bytes a key in place of about 550).'
    yield "- The engine's status every 50 ms. To be done: every 500 ms while no switch is under way."
    yield '- Load reports once more: their slope comes from clock ticks of idle daemons and varied by a'
    yield '  third between runs, so the sum lies about at the budget. To be done: report changes only.'
    yield '- An arming names all 128 members, 4.4 KB to each rank. To be done: a digest of them.'
    yield "- The coordinator's plan. To be done: at most every 30 s at 128 ranks, and only layers"
    yield '  whose counts have changed.'
    yield ''


def data_path(by: dict[str, Slope]) -> Iterator[str]:
    """Yield the table of the data path."""
    yield '## Data path'
    yield ''
    yield '| where | per daemon | cores | state |'
    yield '| --- | --- | --- | --- |'
    for name, count, request, token in (
        ('entry', ENTRIES, by['request_entry'].slope, by['token_entry'].slope),
        ('side', SIDES, by['request_side'].slope, by['token_side'].slope),
    ):
        cores = (REQUESTS * request + TOKENS * token) / count / 1000
        state = 'fits' if cores < 0.8 else 'OVER: one process has one core'
        yield f'| {name} | {REQUESTS / count:.1f} requests/s, {TOKENS / count:,.0f} tokens/s | {cores:.2f} | {state} |'
    needed = TOKENS * by['token_entry'].slope / 1000 / 0.6
    yield ''
    yield 'The cost is that of one frame, one wake-up and one write for each token. Changes, in'
    yield 'this order: the side puts the tokens of all streams to one entry daemon within 10 ms into'
    yield 'one frame; the entry daemon writes what it has of a stream at once. Without them the'
    yield f'target takes {needed:.0f} entry daemons at 60 % of a core each.'
    yield ''


def log_service() -> Iterator[str]:
    """Yield what the log service gets."""
    switches = GROUPS / PLAN_SECONDS
    yield '## Appends at the log service'
    yield ''
    yield '| what | appends/s |'
    yield '| --- | --- |'
    yield f'| configuration changes | {CHANGES / 86_400:.3f} |'
    yield '| snapshots, one an hour | 0.0003 |'
    yield f'| maps wanted, {GROUPS} groups, at most one a plan | {switches:.1f} |'
    yield f'| claims of keyed calls | {KEYED:.0f} |'
    yield f'| their outcomes, in batches with the next claim or report | at most {KEYED:.0f} |'
    yield f'| **sum** of several hundred | **{switches + 2 * KEYED:.0f}** |'
    yield ''
    yield f"Reads: {ENTRIES + SIDES} polls a second of the configuration, {GROUPS * RANKS} of the groups' streams"
    yield "(to be done: a side reads its group's stream only when a note names an unknown epoch)."
    yield ''
    yield '## A configuration change, hop by hop'
    yield ''
    yield '| hop | time | figure is |'
    yield '| --- | --- | --- |'
    yield '| append and reading back by the publish command | 0.1 s | assumed |'
    yield '| wait for the next poll | at most 1.1 s | by design |'
    yield '| reading, folding and checking | 0.1 s | extrapolated |'
    yield '| daemon cut off from the log: asks one neighbour a second | at most 1.1 s more | by design |'
    yield '| **sum, of 4 s** | **2.4 s** | |'
    yield ''


def in_force_times(delays: list[float]) -> Iterator[str]:
    """Yield what was measured from a publish to each daemon's log line."""
    ordered = sorted(delays)
    yield f'Measured here, polls of 1 s, {len(delays)} pairs of change and daemon, from the start of the'
    yield f'append to the daemon\'s line "in force": median {ordered[len(ordered) // 2]:.2f} s,'
    yield f'longest {ordered[-1]:.2f} s.'
    yield ''


def failures(by: dict[str, Slope]) -> Iterator[str]:
    """Yield the fault rates and what carries them."""
    size = by['config_bytes'].slope * CUSTOMERS
    yield "## Faults at the letter's rates"
    yield ''
    yield f"- 82 replaced hosts a day: each reads one snapshot ({size:.0f} KB) and what follows it. Its keys'"
    yield "  slots are read from the log at the first call of each slot. A rank joins by its peers' answers."
    yield '- A rack or switch: entry daemons eject its upstreams after three failures; groups with a rank'
    yield '  there stand until it is back, as lock-step demands.'
    yield f"- A data centre: its entry daemons are the balancer's to leave out; {SIDES // 4} sides go; a"
    yield "  customer's homes move by hash and know all demands within a second."
    yield '- An hour of region split: each region serves its own. The log is on one side: the other one'
    yield '  keeps its configuration, refuses keyed calls as not run, and moves no maps.'
    yield '- All back at once after a log outage: polls are spread by 10 %, links back off to 10 s with'
    yield '  jitter, snapshots are spread over half their interval.'


# Measured elsewhere, as it says itself.
_GATEWAY = Path(__file__).parent / 'capacity_gateway.md'


def main() -> None:
    """Measure, and write the page."""
    measured, delays = processes()
    slopes = [*configuration(), keys(), *fleet(), plans(), *measured]
    text = '\n'.join(page(slopes, frames(), delays)) + '\n'
    text += _GATEWAY.read_text('utf-8')
    print(text)
    if len(sys.argv) > 1:
        Path(sys.argv[1]).write_text(text, 'utf-8')


if __name__ == '__main__':
    main()
