"""What the ranks of a group have said, kept apart by their lives.

A rank that starts again under its name holds nothing of before and counts
anew. Whatever was said by, or ordered for, the life before is not taken for
news of the next.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from linnetwind.lives import Life, name_life
from linnetwind.rank_messages import Seen
from linnetwind.rank_types import CountLanes, RankMaps, RankReport
from linnetwind.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class SeenRank:
    """What one rank has said.

    `upstream` is the entry by which it was reached; `life` is the one that
    answered, which a list that is behind does not know yet.
    """

    upstream: Upstream
    life: Life
    report: RankReport
    seen: Seen


def newest_by_address(entries: Iterable[Upstream]) -> list[Upstream]:
    """Return the entries that are worth asking.

    After a power loss the entries of the lives before stay for some seconds
    and lead to the same ranks. Asked as well, they double the work of each
    look just when a first map is wanted.

    Args:
      entries: Registered upstreams, the newest last.

    Returns:
      The newest entry of each address, and of those that state their start
      one for each life: the answer shows which of them lives.
    """
    newest = {(each.address, each.born_ms): each for each in entries}
    return list(newest.values())


def sort_by_rank(answers: Mapping[Upstream, Seen]) -> dict[int, SeenRank]:
    """Return what each rank of a group has said.

    After a restart two entries may lead to one rank: that of the life that
    answers counts before that of the life before, and where no start is
    stated the newest. Taken as they came, a rank was now one life and now the
    other while the old entries were dropped; its planner forgot the group's
    map each time, and after a power loss the first map came 2.5 s late.

    Args:
      answers: The answer of each upstream that was asked, the newest entry
        last.

    Returns:
      The ranks that have answered.
    """
    found = [
        _seen_rank(upstream, seen)
        for upstream, seen in answers.items()
        if seen.report is not None
    ]
    found.sort(key=_is_of_its_entry)
    return {each.report.rank: each for each in found}


def sort_by_group(
    answers: Mapping[Upstream, Seen],
) -> dict[str, dict[int, SeenRank]]:
    """Return what each rank has said, by the name of its group.

    A service may have several groups, whose ranks have the same numbers.
    Taken for one group, some ranks of each were armed and others were not,
    and the next pass of each mixed two maps.

    Args:
      answers: The answer of each upstream that was asked.

    Returns:
      The ranks that have answered.
    """
    by_group: dict[str, dict[Upstream, Seen]] = {}
    for upstream, seen in answers.items():
        if seen.report is not None:
            members = by_group.setdefault(seen.report.group, {})
            members[upstream] = seen
    return {name: sort_by_rank(members) for name, members in by_group.items()}


def counts_of(ranks: Mapping[int, SeenRank]) -> dict[int, CountLanes]:
    """Return the counts of the ranks that have told them.

    Args:
      ranks: What each rank has said.

    Returns:
      The counts by rank.
    """
    return {
        rank: each.seen.counts
        for rank, each in ranks.items()
        if each.seen.counts is not None
    }


def held_maps(
    ranks: Mapping[int, SeenRank], epoch: int, version: int
) -> RankMaps | None:
    """Return the map in use, as the ranks say what they hold.

    Args:
      ranks: What each rank has said.
      epoch: The epoch in which the map is in use.
      version: The map's version.

    Returns:
      The map, or None unless every rank has said what it holds of it.
    """
    by_rank = []
    for _rank, each in sorted(ranks.items()):
        held = each.seen.experts
        if held is None or (held.epoch, held.version) != (epoch, version):
            return None
        by_rank.append(held.experts)
    return tuple(zip(*by_rank, strict=True))


def _seen_rank(upstream: Upstream, seen: Seen) -> SeenRank:
    """Leave out what another life than that of the report has said.

    The report, counts and experts of one answer come by calls of their own,
    between which the rank may start again.
    """
    born_ms = seen.report.born_ms
    if born_ms is None:
        return SeenRank(upstream, upstream.life, seen.report, seen)
    counts, experts = seen.counts, seen.experts
    if counts is not None and counts.born_ms not in {born_ms, None}:
        counts = None
    if experts is not None and experts.born_ms not in {born_ms, None}:
        experts = None
    return SeenRank(
        upstream,
        name_life(upstream.instance, born_ms),
        seen.report,
        replace(seen, counts=counts, experts=experts),
    )


def _is_of_its_entry(rank: SeenRank) -> bool:
    return rank.life == rank.upstream.life
