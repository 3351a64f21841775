"""Message types of the protocol between entry daemons and side daemons.

Side daemons also use them among each other. Times are relative, in
milliseconds from the time of sending, since the clocks of hosts differ.
"""

from dataclasses import dataclass

from linnetwind.outcome import Reason

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of the handshake, sent by the connecting daemon."""

    version: int
    role: str
    name: str
    incarnation: str
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Challenge:
    """The reply to `Hello`: the listener's identity, proof and own nonce.

    `config_offset` is the log offset up to which the listener has folded the
    configuration.
    """

    version: int
    name: str
    incarnation: str
    nonce: bytes
    proof: bytes
    config_offset: int


@dataclass(frozen=True, slots=True)
class Proof:
    """The connecting daemon's proof that it knows the fleet key."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """The listener accepts the connection; the handshake is complete."""


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt to run a request at one upstream.

    `timeout_ms` is the time left until the deadline of the caller. `key` is
    the digest of the customer's idempotency key, and `slot` is the part of
    the key space that it belongs to; both are None for a call without a key.
    `fingerprint` is the digest of the request, by which reuse of a key for
    another request is detected.
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
    """The status and headers of the upstream's response."""

    call_id: str
    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of the response body; `seq` counts from 0."""

    call_id: str
    seq: int
    body: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The end of a complete response, which has `chunks` chunks."""

    call_id: str
    chunks: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The call has not started and never will."""

    call_id: str
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The call may have run, but its complete response is unavailable."""

    call_id: str
    reason: Reason


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a call because its caller has disconnected."""

    call_id: str


@dataclass(frozen=True, slots=True)
class CallStatusQuery:
    """Queries whether a call started, and bars it from starting later."""

    call_id: str


@dataclass(frozen=True, slots=True)
class CallStatus:
    """The reply: whether the call started; if not, it never will."""

    call_id: str
    started: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report of an upstream, as measured `age_ms` ago.

    `step_ms` is the time of one engine step; for a group, that of the
    slowest rank. `service_ms` is the moving average of the time of a
    request. `acknowledged` is the number of calls received on this
    connection. `cached` and `uncached` are the hashes of prompt blocks that
    entered or left the cache since the last report.
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
    """The complete list of upstreams that refuse new calls from now on."""

    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigQuery:
    """Requests the configuration if it is newer than `offset`."""

    offset: int


@dataclass(frozen=True, slots=True)
class ConfigCopy:
    """The configuration at a log offset, for a daemon without log access."""

    offset: int
    state: bytes


@dataclass(frozen=True, slots=True)
class CustomerDemand:
    """The demand of a customer at one entry daemon in the last interval."""

    customer: str
    requests: float
    tokens: float


@dataclass(frozen=True, slots=True)
class Demand:
    """An entry daemon's demand, sent to the owner of the customers' limits."""

    entry: str
    demands: tuple[CustomerDemand, ...]


@dataclass(frozen=True, slots=True)
class CustomerShare:
    """The fraction of a customer's limits that an entry daemon may use."""

    customer: str
    fraction: float


@dataclass(frozen=True, slots=True)
class Shares:
    """The owner's reply to `Demand`."""

    shares: tuple[CustomerShare, ...]


@dataclass(frozen=True, slots=True)
class GroupNote:
    """A message between ranks about the switch to a new expert map.

    `sender` and `target` are rank numbers in the group; `note` is a message
    of `mapswitch` in the same encoding.
    """

    group: str
    sender: int
    target: int
    note: bytes
