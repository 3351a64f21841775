"""The typed messages between entry and side daemons, and between sides.

Times are relative (milliseconds from now), since hosts' clocks differ.
"""

from dataclasses import dataclass

from linnetwind.outcome import Reason

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of whoever connects."""

    version: int
    role: str
    name: str
    incarnation: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """The listener's answer: its identity, its proof and its own nonce.

    `config_offset` is how far it has folded the configuration.
    """

    version: int
    name: str
    incarnation: str
    nonce: bytes
    proof: bytes
    config_offset: int


@dataclass(frozen=True, slots=True)
class Proof:
    """The caller's proof that it knows the fleet key."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """The listener accepts the caller."""


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt to run a request at one upstream.

    `timeout_ms` is what is left until the caller's deadline. `key` is the
    digest of the customer's idempotency key and `slot` the part of the key
    space that it falls into; both are None for a call without a key.
    `fingerprint` is the digest of the request, so that a key used for
    another request is noticed.
    """

    call_id: str
    request_id: str
    upstream: str
    method: str
    path: str
    headers: Headers
    body: bytes
    customer: str
    priority: int
    timeout_ms: int
    repeatable: bool
    streamed: bool
    service: str = ''
    slot: int | None = None
    key: bytes | None = None
    fingerprint: bytes | None = None


@dataclass(frozen=True, slots=True)
class Head:
    """The upstream's status and headers."""

    call_id: str
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of the answer's body; `seq` counts from 0."""

    call_id: str
    seq: int
    body: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The end mark: the answer is whole and had `chunks` chunks."""

    call_id: str
    chunks: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The call did not start and will not start."""

    call_id: str
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The call may have run, and its whole answer cannot be had."""

    call_id: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller of this call has gone away."""

    call_id: str


@dataclass(frozen=True, slots=True)
class FateQuery:
    """Asks whether a call started, and bars it from starting later."""

    call_id: str


@dataclass(frozen=True, slots=True)
class Fate:
    """Whether a call started; if not, it is barred from now on."""

    call_id: str
    started: bool


@dataclass(frozen=True, slots=True)
class Load:
    """What an upstream carries, as measured `age_ms` ago.

    `step_ms` is the time of one engine step, for a group the slowest
    rank's. `service_ms` is the smoothed time of one request.
    `acknowledged` is the number of calls received on this connection.
    """

    upstream: str
    running: int
    waiting: int
    step_ms: float
    service_ms: float
    age_ms: int
    acknowledged: int
    cached: tuple[int, ...] = ()
    uncached: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Leaving:
    """These upstreams take no new calls from now on."""

    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Asks for the configuration if it is newer than `offset`."""

    offset: int


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """A configuration state as of a log offset, for who cannot read it."""

    offset: int
    state: bytes


@dataclass(frozen=True, slots=True)
class CustomerDemand:
    """What one customer asked of one entry daemon in the last interval."""

    customer: str
    requests: float
    tokens: float


@dataclass(frozen=True, slots=True)
class Demand:
    """An entry daemon's demand, for the home of its customers' limits."""

    entry: str
    demands: tuple[CustomerDemand, ...]


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """The fraction of a customer's limits that one entry may hand out."""

    customer: str
    fraction: float


@dataclass(frozen=True, slots=True)
class Shares:
    """The home's answer to `Demand`."""

    shares: tuple[CustomerShare, ...]


@dataclass(frozen=True, slots=True)
class GroupNote:
    """A message of the expert-map switch, from one rank's side to another.

    `note` is a message of `mapswitch` in the same encoding.
    """

    group: str
    sender: int
    target: int
    note: bytes
