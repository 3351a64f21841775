"""Observations of ranks, kept separate for each incarnation of a rank.

A rank that restarts under the same name has lost its expert maps and starts its
counts from zero. What its previous incarnation reported, or was ordered to do,
must not be attributed to the new one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from linnetwind.rank_messages import RankSnapshot
from linnetwind.rank_types import LaneCounts, RankMaps, RankReport
from linnetwind.upstream_incarnation import (
    UpstreamIncarnation,
    name_incarnation,
)
from linnetwind.upstreams.upstream_list import Upstream


@dataclass(frozen=True, slots=True)
class ObservedRank:
    """The last reply of one rank.

    `upstream` is the registry entry through which the rank was reached. `life`
    is the incarnation that replied; a list of upstreams that lags behind may
    not contain it yet.
    """

    upstream: Upstream
    life: UpstreamIncarnation
    report: RankReport
    snapshot: RankSnapshot


def newest_by_address(entries: Iterable[Upstream]) -> list[Upstream]:
    """Return the entries that are worth querying.

    After a power loss the entries of the previous incarnations remain for some
    seconds and lead to the same ranks. Querying them too would double the work
    of each poll just when a first map is needed.

    Args:
      entries: Registered upstreams, the newest last.

    Returns:
      The newest entry of each address. Among entries that state their start
      time, the newest of each incarnation; the replies show which is running.
    """
    newest = {(entry.address, entry.born_ms): entry for entry in entries}
    return list(newest.values())


def index_by_rank(
    replies: Mapping[Upstream, RankSnapshot],
) -> dict[int, ObservedRank]:
    """Index the replies of one group's ranks by rank.

    After a restart two entries may lead to the same rank. The entry of the
    incarnation that replies takes precedence over that of the previous one;
    among entries without a start time the newest does. Otherwise the rank would
    alternate between both incarnations until the old entries are removed, and
    its planner would discard the group's map each time. That delayed the first
    map after a power loss by 2.5 s.

    Args:
      replies: The snapshot from each upstream that was queried, the newest
        entry last.

    Returns:
      The ranks that have replied, by rank.
    """
    observed = [
        _observe_rank(upstream, snapshot)
        for upstream, snapshot in replies.items()
        if snapshot.report is not None
    ]
    observed.sort(key=_matches_its_entry)
    return {each.report.rank: each for each in observed}


def index_by_group(
    replies: Mapping[Upstream, RankSnapshot],
) -> dict[str, dict[int, ObservedRank]]:
    """Index the replies of a service's ranks by group and rank.

    A service may have several groups whose ranks have the same numbers. When
    they were treated as one group, only some ranks of each group were armed,
    and the next pass of each group mixed two maps.

    Args:
      replies: The snapshot from each upstream that was queried.

    Returns:
      The ranks that have replied, by the name of their group and by rank.
    """
    by_group: dict[str, dict[Upstream, RankSnapshot]] = {}
    for upstream, snapshot in replies.items():
        if snapshot.report is not None:
            members = by_group.setdefault(snapshot.report.group, {})
            members[upstream] = snapshot
    return {name: index_by_rank(members) for name, members in by_group.items()}


def counts_of(ranks: Mapping[int, ObservedRank]) -> dict[int, LaneCounts]:
    """Return the counts of the ranks that have reported them.

    Args:
      ranks: The observed ranks of a group.

    Returns:
      The counts by rank.
    """
    return {
        rank: each.snapshot.counts
        for rank, each in ranks.items()
        if each.snapshot.counts is not None
    }


def held_maps(
    ranks: Mapping[int, ObservedRank], epoch: int, version: int
) -> RankMaps | None:
    """Return the map in use, assembled from the experts that the ranks hold.

    Args:
      ranks: The observed ranks of a group.
      epoch: The epoch in which the map is in use.
      version: The map's version.

    Returns:
      The map, or None unless every rank has reported its part of it.
    """
    by_rank = []
    for _rank, each in sorted(ranks.items()):
        held = each.snapshot.experts
        if held is None or (held.epoch, held.version) != (epoch, version):
            return None
        by_rank.append(held.experts)
    return tuple(zip(*by_rank, strict=True))


def _observe_rank(upstream: Upstream, snapshot: RankSnapshot) -> ObservedRank:
    """Drop what comes from another incarnation than the report does.

    The report, counts and experts of one snapshot are read by separate calls,
    between which the rank may restart.
    """
    born_ms = snapshot.report.born_ms
    if born_ms is None:
        return ObservedRank(upstream, upstream.life, snapshot.report, snapshot)
    counts, experts = snapshot.counts, snapshot.experts
    if counts is not None and counts.born_ms not in {born_ms, None}:
        counts = None
    if experts is not None and experts.born_ms not in {born_ms, None}:
        experts = None
    return ObservedRank(
        upstream,
        name_incarnation(upstream.instance, born_ms),
        snapshot.report,
        replace(snapshot, counts=counts, experts=experts),
    )


def _matches_its_entry(rank: ObservedRank) -> bool:
    return rank.life == rank.upstream.life
