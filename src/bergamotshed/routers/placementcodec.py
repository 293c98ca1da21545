"""
bergamotshed.routers.placementcodec
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Converts placement requests, results and chat memories to messages between
routers and back.
"""

__all__ = (
    'cached_histories_of',
    'memory_handover_of',
    'outcome_number',
    'outcome_of',
    'place_answer_of',
    'place_request_of',
    'placement_of',
    'placement_request_of',
    'refusal_of',
)

from collections.abc import Sequence
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..routing.memory import CachedHistory
from ..routing.types import Outcome, Placement, PlacementRequest, Upstream
from .messages import MemoryHandover, PlaceAnswer, PlaceRequest

MILLISECOND = timedelta(milliseconds=1)
OUTCOMES = tuple(Outcome)
UTF8_PREFIX = b'='
HEX_PREFIX = b'#'


def outcome_number(outcome: Outcome) -> int:
    """Return the number that stands for an outcome in messages."""
    return OUTCOMES.index(outcome)


def outcome_of(number: int) -> Outcome:
    """Return the outcome that a number in a message stands for.

    An outcome that this router does not know counts as a cancelled request.
    """
    if number < len(OUTCOMES):
        return OUTCOMES[number]
    return Outcome.CANCELLED


def place_request_of(
    request: PlacementRequest, excluded: frozenset[str], remaining: timedelta
) -> PlaceRequest:
    """Return the message that asks a home to place a request.

    :param excluded: upstreams that this router can't use
    :param remaining: time to the deadline
    """
    return PlaceRequest(
        request=_pack_request(request.request),
        service=request.service,
        organisation=request.organisation,
        chat=request.chat,
        model=request.model,
        history=request.history,
        priority=request.priority,
        deadline=max(remaining // MILLISECOND, 0),
        excluded=tuple(sorted(request.excluded | excluded)),
        suspect=request.suspect,
        preferred=request.preferred,
        fingerprint=request.fingerprint,
        patience=request.patience // MILLISECOND,
        tolerance=-1 if request.tolerance is None else request.tolerance,
    )


def placement_request_of(message: PlaceRequest) -> PlacementRequest:
    """Return the request that a peer asks to place."""
    return PlacementRequest(
        request=_unpack_request(message.request),
        service=message.service,
        organisation=message.organisation,
        chat=message.chat,
        model=message.model,
        history=message.history,
        priority=message.priority,
        deadline=message.deadline * MILLISECOND,
        excluded=frozenset(message.excluded),
        suspect=message.suspect,
        preferred=message.preferred,
        fingerprint=message.fingerprint,
        patience=message.patience * MILLISECOND,
        tolerance=None if message.tolerance < 0 else message.tolerance,
    )


def place_answer_of(result: Placement | Refusal) -> PlaceAnswer:
    """Return the answer to a peer's :class:`PlaceRequest`."""
    if isinstance(result, Placement):
        return PlaceAnswer(
            upstream=result.upstream.name,
            grant=result.grant,
            first_choice=result.first_choice,
        )
    retry_after = -1
    if result.retry_after is not None:
        retry_after = result.retry_after // MILLISECOND
    return PlaceAnswer(
        reason=result.reason.value,
        retry_after=retry_after,
        detail=result.detail,
    )


def refusal_of(answer: PlaceAnswer) -> Refusal:
    """Return the refusal in an answer.

    A reason that this router does not know counts as an overload.
    """
    retry_after = None
    if answer.retry_after >= 0:
        retry_after = answer.retry_after * MILLISECOND
    try:
        reason = Reason(answer.reason)
    except ValueError:
        reason = Reason.OVERLOADED
    return Refusal(reason, retry_after, answer.detail)


def placement_of(
    answer: PlaceAnswer, home: str, upstreams: Sequence[Upstream]
) -> Placement | None:
    """Return the placement; ``None`` if its upstream is not listed here."""
    for upstream in upstreams:
        if upstream.name == answer.upstream:
            return Placement(upstream, answer.grant, home, answer.first_choice)
    return None


def memory_handover_of(
    service: str,
    partition: int,
    memory_part: Sequence[tuple[int, CachedHistory]],
) -> MemoryHandover:
    """Return a part of a chat memory as a message."""
    names: dict[str, int] = {}
    chats = tuple(
        (
            chat,
            names.setdefault(cached.upstream, len(names)),
            cached.tokens,
            names.setdefault(cached.former, len(names)),
            cached.former_tokens,
        )
        for chat, cached in memory_part
    )
    return MemoryHandover(service, partition, tuple(names), chats)


def cached_histories_of(
    message: MemoryHandover,
) -> list[tuple[int, CachedHistory]]:
    """Return the part of a chat memory that a message contains."""
    names = message.upstreams
    return [
        (
            chat,
            CachedHistory(
                names[index], tokens, names[former_index], former_tokens
            ),
        )
        for chat, index, tokens, former_index, former_tokens in message.chats
        if max(index, former_index) < len(names)
    ]


def _pack_request(request: str) -> bytes:
    try:
        packed = bytes.fromhex(request)
    except ValueError:
        return UTF8_PREFIX + request.encode()
    if packed.hex() != request:
        return UTF8_PREFIX + request.encode()
    return HEX_PREFIX + packed


def _unpack_request(packed: bytes) -> str:
    if packed.startswith(HEX_PREFIX):
        return packed[1:].hex()
    return packed[1:].decode(errors='replace')
