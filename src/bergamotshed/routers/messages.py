"""
bergamotshed.routers.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What routers say to each other: tagged MessagePack arrays. A field may be
appended with a default; tags are never reused.
"""

__all__ = (
    'PROTOCOL_VERSION',
    'AnswerFailed',
    'AnswerPending',
    'CancelQuestion',
    'ConfigAnswer',
    'ConfigPull',
    'CrashNotice',
    'CrashNotices',
    'CrashPull',
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
from .promptmessages import PromptRead, ReadersAnswer, ReadersRequest

#: Version of the protocol, told in the first message to a peer.
PROTOCOL_VERSION = 1


class Hello(Struct, frozen=True, array_like=True, tag=0):
    """The first message to a peer."""

    protocol: int
    incarnation: int


class AnswerPending(Struct, frozen=True, array_like=True, tag=1):
    """The question was received and its answer takes longer."""


class CancelQuestion(Struct, frozen=True, array_like=True, tag=2):
    """The asker no longer waits for the answer to that question."""

    question: int


class AnswerFailed(Struct, frozen=True, array_like=True, tag=3):
    """The peer could not answer the question."""


class GossipRecord(Struct, frozen=True, array_like=True):
    """A fact about a VM, seen by the origin.

    :ivar age: milliseconds since the origin last asserted it
    """

    name: str
    origin: str
    age: int


class Heartbeat(Struct, frozen=True, array_like=True, tag=4):
    """A sign of life, with what this router has seen or heard.

    :ivar incarnation: grows when the router restarts
    :ivar leaving: VMs that leave, this router among them when it drains
    :ivar suspects: routers and upstreams that do not answer
    :ivar cleared: former suspects that answer
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

    :ivar incarnation: the sender's
    :ivar seen: the newest grant of the receiver that the counts include
    :ivar counts: upstreams with requests in flight; others have none
    """

    service: str
    partition: int
    incarnation: int
    newest_grant: int
    counts: dict[str, int]


class LoadVectorRequest(Struct, frozen=True, array_like=True, tag=6):
    """A new home asks for the sender's load vector of a service."""

    service: str
    partition: int


class PlaceRequest(Struct, frozen=True, array_like=True, tag=7):
    """Asks a home for a place.

    :ivar request: the request id, packed where it is hexadecimal
    :ivar deadline: milliseconds left
    :ivar patience: milliseconds that it may wait; 0 for until its deadline
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


class PlaceAnswer(Struct, frozen=True, array_like=True, tag=8):
    """A place, or the reason why there is none.

    :ivar reason: a :class:`Reason` value, or empty
    :ivar retry_after: milliseconds; negative for none
    """

    upstream: str = ''
    grant: int = 0
    first_choice: bool = True
    reason: str = ''
    retry_after: int = -1
    detail: str = ''


class Release(Struct, frozen=True, array_like=True, tag=9):
    """Gives a place back to the home that granted it.

    :ivar outcome: the position of its :class:`Outcome`
    :ivar cached: history tokens that the upstream served from cache
    """

    grant: int
    outcome: int
    cached: int = 0


class RequestEnded(Struct, frozen=True, array_like=True, tag=16):
    """Tells the present home of a request that another one placed."""

    service: str
    partition: int
    chat: int
    upstream: str
    outcome: int
    cached: int = 0


class ConfigPull(Struct, frozen=True, array_like=True, tag=10):
    """Asks for a configuration newer than the version."""

    version: int


class ConfigAnswer(Struct, frozen=True, array_like=True, tag=11):
    """The peer's configuration in force, compressed; empty if not newer."""

    version: int
    payload: bytes = b''


class CrashNotice(Struct, frozen=True, array_like=True, tag=12):
    """Fingerprints of requests in flight when an upstream crashed.

    :ivar boot: the boot id of the run that ended, or empty if unknown
    :ivar age: milliseconds since the crash was noticed
    :ivar pending: the crash is not confirmed yet
    """

    upstream: str
    boot: str
    fingerprints: tuple[int, ...]
    age: int
    pending: bool = False


class CrashNotices(Struct, frozen=True, array_like=True, tag=13):
    """What is known of crashes; empty to confirm a notice."""

    notices: tuple[CrashNotice, ...] = ()


class CrashPull(Struct, frozen=True, array_like=True, tag=15):
    """A new router asks for all that is known of crashes."""


class MemoryHandover(Struct, frozen=True, array_like=True, tag=14):
    """A part of a former home's chat memory, for its successor.

    :ivar upstreams: names, once
    :ivar chats: for each chat its 64-bit hash, the index of its upstream,
        the tokens cached there, and the same two of its former upstream
    """

    service: str
    partition: int
    upstreams: tuple[str, ...]
    chats: tuple[tuple[int, int, int, int, int], ...]


class GatewayHeartbeat(Struct, frozen=True, array_like=True, tag=21):
    """A gateway lives.

    :ivar ready: it takes requests
    :ivar version: its configuration's version, -1 for none
    """

    ready: bool
    version: int


Message = (
    Hello
    | GatewayHeartbeat
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
    | ConfigPull
    | ConfigAnswer
    | CrashNotice
    | CrashPull
    | CrashNotices
    | MemoryHandover
    | PromptRead
    | ReadersAnswer
    | ReadersRequest
)
