"""The wire format of daemon states, which fit into one packet.

The format is sized for 35 daemons that send their states to each other three
times a second. With the names of upstream incarnations and all addresses, a
state takes 8.3 KB in 6 packets: 6.6 Mbit/s from each host, of the 20 Mbit/s
that the smallest host has. If 2.5 % of the packets are lost, one state in seven
is lost.

Therefore upstream incarnations are sent as numeric tags that both ends derive
from the list of upstreams; a daemon that does not know an incarnation sends it
no requests either. Daemon addresses, the ranks of a group, crashes and
evacuations are only part of full states, which are sent for some time after a
change and now and then.
"""

import struct
import zlib
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, fields
from datetime import timedelta
from typing import Any

from result import Ok

from linnetwind.address import Address
from linnetwind.codec import Codec
from linnetwind.crash_history import AdvertisedCrash
from linnetwind.fingerprint import Fingerprint
from linnetwind.peers.peer_table import (
    GroupSummary,
    Pace,
    PeerState,
    StreamLoad,
)
from linnetwind.upstream_incarnation import (
    IncarnationTag,
    UpstreamIncarnation,
    tag_incarnation,
)
from linnetwind.upstreams.cold_upstreams import AdvertisedCold
from linnetwind.upstreams.ejection_hints import AdvertisedEjection
from linnetwind.upstreams.evacuation import Evacuation
from linnetwind.upstreams.prompt_news import PromptNews
from linnetwind.upstreams.upstream_limits import AdvertisedLimit, ServiceDemand

_TAG_BYTES = 4
# Raised for truncated bytes, and for a tag without its count.
_UNPACK_ERRORS = (struct.error, ValueError)
# How long full states are sent after a change: five states with 35 daemons.
_FULL_AFTER_CHANGE = timedelta(seconds=2)
# At least each fourth state is full. A peer that lost the packets of a change
# then waits 1.4 s for the next full state with 35 daemons, which is less than
# the 2 s for which a summary of a group is used.
_FULL_STATE_EVERY = 4


@dataclass(frozen=True, slots=True)
class _WireSummary:
    """`GroupSummary` with packed tags in place of incarnations.

    `roster` is a checksum of the members, `members` holds their tags, or is
    empty in a state that is not full.
    """

    service: str
    group: str
    epoch: int
    is_open: bool
    skew: float
    opens_in_ms: int
    roster: int
    members: bytes
    slow: bytes
    pace: Pace = 1


@dataclass(frozen=True, slots=True)
class _WireState:
    """`PeerState` with packed tags in place of incarnations; see there.

    `running` holds a tag and a count for each incarnation.
    """

    name: str
    start_id: str
    counter: int
    address: Address
    config_version: int
    leaving: bool
    can_plan: bool
    running: bytes
    members: tuple[Address, ...]
    groups: tuple[_WireSummary, ...]
    loads: tuple[StreamLoad, ...]
    refused: tuple[str, ...]
    stopping_ms: int
    site: str
    power: int
    crashes: tuple[AdvertisedCrash, ...] = ()
    answered: tuple[Fingerprint, ...] = ()
    limits: tuple[AdvertisedLimit, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    cold: tuple[AdvertisedCold, ...] = ()
    unheard: tuple[Address, ...] = ()
    avoided: tuple[AdvertisedEjection, ...] = ()
    prompts: tuple[PromptNews, ...] = ()


_CODEC = Codec((_WireState,))
# The fields that are empty unless the state is full.
_ONLY_IN_FULL = frozenset(
    (
        'members',
        'crashes',
        'answered',
        'evacuations',
        'cold',
        'unheard',
        'prompts',
    )
)
# The fields that are sent unchanged; the others are converted one by one.
_SAME_IN_STATES = tuple(
    field.name
    for field in fields(_WireState)
    if field.name not in {'running', 'groups', *_ONLY_IN_FULL}
)
_SAME_IN_SUMMARIES = tuple(
    field.name
    for field in fields(_WireSummary)
    if field.name not in {'roster', 'members', 'slow'}
)


def pack_state(state: PeerState, *, full: bool) -> bytes:
    """Encode a state.

    Args:
      state: The state.
      full: Whether the state is full, with addresses, ranks and crashes.

    Returns:
      The bytes.
    """
    running = [
        word
        for life, count in state.running.items()
        for word in (tag_incarnation(life), count)
    ]
    message = _WireState(
        **_copy_fields(state, _SAME_IN_STATES),
        running=_pack(running),
        **{
            name: getattr(state, name) if full else () for name in _ONLY_IN_FULL
        },
        groups=tuple(_pack_summary(each, full) for each in state.groups),
    )
    return _CODEC.encode(message)


class StateReader:
    """Decodes states; remembers the ranks of each group until they change."""

    def __init__(self) -> None:
        """Start without ranks of any group."""
        self._rosters: dict[tuple[str, str], bytes] = {}

    def read(
        self,
        content: bytes,
        lives: Mapping[IncarnationTag, UpstreamIncarnation],
    ) -> PeerState | None:
        """Decode the state in a datagram.

        Args:
          content: The bytes of the datagram.
          lives: The upstream incarnations that this daemon knows, by tag.

        Returns:
          The state, without counts of unknown incarnations and without groups
          whose ranks have not been received yet, or None if the bytes are not a
          state.
        """
        decoded = _CODEC.decode(content)
        if not isinstance(decoded, Ok):
            return None
        try:
            return self._read(decoded.ok_value, lives)
        except _UNPACK_ERRORS:
            return None

    def _read(
        self,
        message: _WireState,
        lives: Mapping[IncarnationTag, UpstreamIncarnation],
    ) -> PeerState:
        words = iter(_unpack(message.running))
        running = {
            lives[tag]: count
            for tag, count in zip(words, words, strict=True)
            if tag in lives
        }
        summaries = [self._read_summary(each, lives) for each in message.groups]
        return PeerState(
            **_copy_fields(message, _SAME_IN_STATES),
            running=running,
            **_copy_fields(message, _ONLY_IN_FULL),
            groups=tuple(each for each in summaries if each is not None),
        )

    def _read_summary(
        self,
        summary: _WireSummary,
        lives: Mapping[IncarnationTag, UpstreamIncarnation],
    ) -> GroupSummary | None:
        key = (summary.service, summary.group)
        if summary.members:
            self._rosters[key] = summary.members
        roster = self._rosters.get(key, b'')
        if zlib.crc32(roster) != summary.roster:
            return None
        return GroupSummary(
            **_copy_fields(summary, _SAME_IN_SUMMARIES),
            members=_known_incarnations(_unpack(roster), lives),
            slow=_known_incarnations(_unpack(summary.slow), lives),
        )


class FullStateSchedule:
    """Decides which states are full: with addresses, ranks and crashes.

    All states are full for some time after these or the peers have changed, so
    that after a power loss all daemons know each other as soon as if all states
    were full. After that each fourth state is full, for peers that lost the
    packets.
    """

    def __init__(self) -> None:
        """Start with full states."""
        self._full_state_key: Hashable = None
        self._full_until = timedelta()
        self._since_full = 0

    def next_is_full(self, full_state_key: Hashable, now: timedelta) -> bool:
        """Return whether the next state is full; called once for each state.

        Args:
          full_state_key: A value that changes when peers need a full state.
          now: The monotonic time.

        Returns:
          Whether addresses, ranks and crashes are part of the state.
        """
        if full_state_key != self._full_state_key:
            self._full_state_key = full_state_key
            self._full_until = now + _FULL_AFTER_CHANGE
        self._since_full += 1
        full = now < self._full_until or self._since_full >= _FULL_STATE_EVERY
        if full:
            self._since_full = 0
        return full


def _pack_summary(summary: GroupSummary, full: bool) -> _WireSummary:
    members = _pack([tag_incarnation(each) for each in summary.members])
    return _WireSummary(
        **_copy_fields(summary, _SAME_IN_SUMMARIES),
        roster=zlib.crc32(members),
        members=members if full else b'',
        slow=_pack([tag_incarnation(each) for each in summary.slow]),
    )


def _copy_fields(source: Any, names: Iterable[str]) -> dict[str, Any]:
    return {name: getattr(source, name) for name in names}


def _pack(words: list[int]) -> bytes:
    return struct.pack(f'<{len(words)}I', *words)


def _unpack(content: bytes) -> tuple[int, ...]:
    size = len(content) // _TAG_BYTES
    return struct.unpack(f'<{size}I', content)


def _known_incarnations(
    tags: Iterable[int], lives: Mapping[IncarnationTag, UpstreamIncarnation]
) -> tuple[UpstreamIncarnation, ...]:
    return tuple(lives[tag] for tag in tags if tag in lives)
