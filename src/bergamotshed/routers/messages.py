"""
bergamotshed.routers.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between routers, encoded as tagged MessagePack arrays. A new field
may only be appended, with a default; tags are never reused.
"""

__all__ = (
    'PROTOCOL_VERSION',
    'AnswerFailed',
    'AnswerPending',
    'CancelQuestion',
    'ConfigurationAnswer',
    'ConfigurationRequest',
    'CrashNotice',
    'CrashNotices',
    'CrashNoticesRequest',
    'GatewayHeartbeat',
    'GossipRecord',
    'Heartbeat',
    'Hello',
    'LoadVector',
    'LoadVectorRequest',
    'MemoryHandover',
    'Message',
    'PlaceAnswer',
    'PlaceRequest',
    'Release',
    'RequestEnded',
)

from msgspec import Struct

from .claimmessages import (
    ClaimAnswer,
    ClaimEnd,
    ClaimEndConfirmed,
    ClaimRequest,
)
from .loadmessages import LoadAnswer, LoadRelease, LoadRequest
from .originmessages import OriginAnswer, OriginRequest, StreamBegun
from .partmessages import PartsAnswered
from .promptmessages import PromptRead, ReadersAnswer, ReadersRequest
from .ratemessages import (
    LimitsKnown,
    LimitsRequest,
    RateAnswer,
    RateRequest,
)
from .storemessages import ChangesAnswer, ChangesRequest

#: Version of the protocol, sent in the first message to a peer.
PROTOCOL_VERSION = 1


class Hello(Struct, frozen=True, array_like=True, tag=0):
    """The first message to a peer."""

    protocol: int
    incarnation: int


class AnswerPending(Struct, frozen=True, array_like=True, tag=1):
    """Acknowledges a question whose answer takes longer."""


class CancelQuestion(Struct, frozen=True, array_like=True, tag=2):
    """Cancels a question whose answer nobody waits for any more."""

    question: int


class AnswerFailed(Struct, frozen=True, array_like=True, tag=3):
    """Answers a question that could not be handled."""


class GossipRecord(Struct, frozen=True, array_like=True):
    """Wire form of a :class:`~bergamotshed.routing.gossip.GossipItem`.

    :ivar name: the VM that it is about
    :ivar origin: the router that observed it
    :ivar age: milliseconds since the origin last reported it
    """

    name: str
    origin: str
    age: int


class Heartbeat(Struct, frozen=True, array_like=True, tag=4):
    """A periodic message that a router is alive, with its gossip.

    :ivar incarnation: grows when the router restarts
    :ivar leaving: VMs that are leaving, this router among them when it drains
    :ivar suspects: routers and upstreams that don't answer
    :ivar cleared: former suspects that answer again
    """

    node: str
    incarnation: int
    seq: int
    config_version: int
    leaving: tuple[GossipRecord, ...] = ()
    suspects: tuple[GossipRecord, ...] = ()
    cleared: tuple[GossipRecord, ...] = ()


class LoadVector(Struct, frozen=True, array_like=True, tag=5):
    """How many requests the sender has in flight on each upstream.

    :ivar incarnation: the sender's, see :class:`Heartbeat`
    :ivar newest_grant: newest of the receiver's grants that the counts include
    :ivar counts: upstreams with requests in flight; others have none
    """

    service: str
    partition: int
    incarnation: int
    newest_grant: int
    counts: dict[str, int]


class LoadVectorRequest(Struct, frozen=True, array_like=True, tag=6):
    """Asks a peer for its load vector of one partition; sent by a new home."""

    service: str
    partition: int


class PlaceRequest(Struct, frozen=True, array_like=True, tag=7):
    """Asks a home to place a request.

    :ivar request: the request id, packed if it is hexadecimal
    :ivar deadline: milliseconds remaining
    :ivar patience: longest wait in the queue in milliseconds; 0 for as long
        as the deadline allows
    :ivar tolerance: rejections in a second that each upstream bears;
        negative for any number
    """

    request: bytes
    service: str
    organisation: str
    chat: int
    model: str
    history: int
    priority: int
    deadline: int
    excluded: tuple[str, ...] = ()
    suspect: bool = False
    preferred: str = ''
    fingerprint: int = 0
    patience: int = 0
    tolerance: float = -1


class PlaceAnswer(Struct, frozen=True, array_like=True, tag=8):
    """A placement, or a refusal.

    :ivar reason: value of the refusal's :class:`Reason`, or empty
    :ivar retry_after: milliseconds; negative for none
    """

    upstream: str = ''
    grant: int = 0
    first_choice: bool = True
    reason: str = ''
    retry_after: int = -1
    detail: str = ''


class Release(Struct, frozen=True, array_like=True, tag=9):
    """Releases a grant at the home that gave it.

    :ivar outcome: position of the request's outcome in :class:`Outcome`
    :ivar cached: history tokens that the upstream served from cache
    """

    grant: int
    outcome: int
    cached: int = 0


class RequestEnded(Struct, frozen=True, array_like=True, tag=16):
    """Reports the end of a request that was not placed by its present home."""

    service: str
    partition: int
    chat: int
    upstream: str
    outcome: int
    cached: int = 0


class ConfigurationRequest(Struct, frozen=True, array_like=True, tag=10):
    """Asks for the peer's configuration if it is newer than ``version``."""

    version: int


class ConfigurationAnswer(Struct, frozen=True, array_like=True, tag=11):
    """The configuration in force, compressed; empty if it is not newer."""

    version: int
    payload: bytes = b''


class CrashNotice(Struct, frozen=True, array_like=True, tag=12):
    """Fingerprints of the requests in flight when an upstream crashed.

    :ivar boot: boot id of the engine run that ended; empty if unknown
    :ivar age: milliseconds since the crash was detected
    :ivar pending: whether the crash is not confirmed yet
    :ivar parts: for each part of the requests whose answers had not begun its
        hash and the milliseconds since a request with it was last sent
    """

    upstream: str
    boot: str
    fingerprints: tuple[int, ...]
    age: int
    pending: bool = False
    parts: tuple[tuple[int, int], ...] = ()


class CrashNotices(Struct, frozen=True, array_like=True, tag=13):
    """The crashes that a router knows of; empty to confirm a notice."""

    notices: tuple[CrashNotice, ...] = ()


class CrashNoticesRequest(Struct, frozen=True, array_like=True, tag=15):
    """Asks for all known crashes; sent by a router that has just started."""


class MemoryHandover(Struct, frozen=True, array_like=True, tag=14):
    """A part of a former home's chat memory, for the new home.

    :ivar upstreams: names of upstreams, to which the chats refer by index
    :ivar chats: for each chat its 64-bit hash, the index of its upstream,
        the tokens cached there, and the same two of its former upstream
    """

    service: str
    partition: int
    upstreams: tuple[str, ...]
    chats: tuple[tuple[int, int, int, int, int], ...]


class HeartbeatRequest(Struct, frozen=True, array_like=True, tag=27):
    """Asks a gateway for its heartbeat at once."""


class GatewayHeartbeat(Struct, frozen=True, array_like=True, tag=21):
    """A periodic message that a gateway is alive.

    :ivar ready: whether it takes requests
    :ivar version: version of its configuration, -1 for none
    :ivar lost_services: services whose upstreams it can't connect to
    :ivar loads: keys of upstreams and its requests there, see
        :class:`~bergamotshed.routing.upstream_loads.UpstreamLoads`
    :ivar withdrawn: keys of upstreams that stated that they leave
    """

    ready: bool
    version: int
    lost_services: tuple[str, ...] = ()
    loads: tuple[tuple[int, int], ...] = ()
    withdrawn: tuple[int, ...] = ()


Message = (
    Hello
    | GatewayHeartbeat
    | HeartbeatRequest
    | AnswerPending
    | CancelQuestion
    | AnswerFailed
    | Heartbeat
    | LoadVector
    | LoadVectorRequest
    | PlaceRequest
    | PlaceAnswer
    | Release
    | RequestEnded
    | ClaimAnswer
    | ClaimRequest
    | ClaimEnd
    | ClaimEndConfirmed
    | ConfigurationRequest
    | ConfigurationAnswer
    | CrashNotice
    | CrashNoticesRequest
    | CrashNotices
    | MemoryHandover
    | PartsAnswered
    | RateRequest
    | RateAnswer
    | LimitsKnown
    | LimitsRequest
    | PromptRead
    | ReadersAnswer
    | ChangesRequest
    | ChangesAnswer
    | ReadersRequest
    | StreamBegun
    | OriginRequest
    | OriginAnswer
    | LoadRequest
    | LoadAnswer
    | LoadRelease
)
