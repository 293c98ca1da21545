"""
bergamotshed.routers.placementcodec
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Turns placement values into messages between routers and back.
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
PLAIN = b'='
PACKED = b'#'


def outcome_number(outcome: Outcome) -> int:
    """Return an outcome as a number in a message."""
    return OUTCOMES.index(outcome)


def outcome_of(number: int) -> Outcome:
    """Return the outcome in a message.

    One that this router does not know counts as a cancelled request.
    """
    if number < len(OUTCOMES):
        return OUTCOMES[number]
    return Outcome.CANCELLED


def place_request_of(
    request: PlacementRequest, excluded: frozenset[str], left: timedelta
) -> PlaceRequest:
    """Return the question to a home.

    :param excluded: upstreams that this router can't use
    :param left: time left to the deadline
    """
    return PlaceRequest(
        request=_pack_request(request.request),
        service=request.service,
        organisation=request.organisation,
        chat=request.chat,
        model=request.model,
        history=request.history,
        priority=request.priority,
        deadline=max(left // MILLISECOND, 0),
        excluded=tuple(sorted(request.excluded | excluded)),
        suspect=request.suspect,
        preferred=request.preferred,
        fingerprint=request.fingerprint,
        patience=request.patience // MILLISECOND,
    )


def placement_request_of(ask: PlaceRequest) -> PlacementRequest:
    """Return the request that a peer asks a place for."""
    return PlacementRequest(
        request=_unpack_request(ask.request),
        service=ask.service,
        organisation=ask.organisation,
        chat=ask.chat,
        model=ask.model,
        history=ask.history,
        priority=ask.priority,
        deadline=ask.deadline * MILLISECOND,
        excluded=frozenset(ask.excluded),
        suspect=ask.suspect,
        preferred=ask.preferred,
        fingerprint=ask.fingerprint,
        patience=ask.patience * MILLISECOND,
    )


def place_answer_of(decided: Placement | Refusal) -> PlaceAnswer:
    """Return the answer to a peer's question."""
    if isinstance(decided, Placement):
        return PlaceAnswer(
            upstream=decided.upstream.name,
            grant=decided.grant,
            first_choice=decided.first_choice,
        )
    retry_after = -1
    if decided.retry_after is not None:
        retry_after = decided.retry_after // MILLISECOND
    return PlaceAnswer(
        reason=decided.reason.value,
        retry_after=retry_after,
        detail=decided.detail,
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
    """Return the granted place; ``None`` if its upstream is not listed."""
    for upstream in upstreams:
        if upstream.name == answer.upstream:
            return Placement(upstream, answer.grant, home, answer.first_choice)
    return None


def memory_handover_of(
    service: str, partition: int, part: Sequence[tuple[int, CachedHistory]]
) -> MemoryHandover:
    """Return a part of a chat memory as a message."""
    names: dict[str, int] = {}
    chats = tuple(
        (
            chat,
            names.setdefault(known.upstream, len(names)),
            known.tokens,
            names.setdefault(known.former, len(names)),
            known.former_tokens,
        )
        for chat, known in part
    )
    return MemoryHandover(service, partition, tuple(names), chats)


def cached_histories_of(
    message: MemoryHandover,
) -> list[tuple[int, CachedHistory]]:
    """Return the part of a chat memory in a message."""
    names = message.upstreams
    return [
        (chat, CachedHistory(names[last], tokens, names[former], older))
        for chat, last, tokens, former, older in message.chats
        if max(last, former) < len(names)
    ]


def _pack_request(request: str) -> bytes:
    try:
        packed = bytes.fromhex(request)
    except ValueError:
        return PLAIN + request.encode()
    if packed.hex() != request:
        return PLAIN + request.encode()
    return PACKED + packed


def _unpack_request(packed: bytes) -> str:
    if packed.startswith(PACKED):
        return packed[1:].hex()
    return packed[1:].decode(errors='replace')
