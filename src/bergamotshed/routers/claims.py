"""
bergamotshed.routers.claims
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims through the owner of a key's stream, which alone follows the stream
and groups the claims of all routers. The order in the log still decides: two
routers that both believe to be the owner do no harm.
"""

__all__ = ('OwnedClaims',)

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..control.claimrecords import stream_number
from ..control.claims import LogClaims
from ..control.types import Claim, Claims, SettledAnswer
from ..reasons import Reason, Refusal
from ..routing.homes import home_of
from ..routing.view import FleetView
from .claimmessages import (
    ClaimAnswer,
    ClaimEnd,
    ClaimEndConfirmed,
    ClaimRequest,
)
from .errors import Unanswered
from .mesh import PeerMesh
from .messages import Message

#: The name under which owners are chosen, as homes are for services.
OWNERSHIP = 'claims'

#: How long an owner may be silent.
OWNER_TIMEOUT = timedelta(milliseconds=150)

#: How long an owner may take to read its own record back.
OWNER_PATIENCE = timedelta(milliseconds=2500)

#: How long an owner may take to confirm an end, and how often it is told.
END_TIMEOUT = timedelta(milliseconds=500)
END_TRIES = 5

#: When a caller should come back whose claim got no answer.
RETRY_AFTER = timedelta(seconds=2)

MILLISECOND = timedelta(milliseconds=1)


class OwnedClaims(Claims):
    """Claims at the owner; at the log itself if there is no other way.

    :param node: this router's name
    :param claims: this router's own way to the log
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        view: FleetView,
        claims: LogClaims,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._view = view
        self._claims = claims
        self._clock = clock
        self._owners: dict[Claim, str] = {}
        self._telling: set[asyncio.Task[None]] = set()
        mesh.on_question(ClaimRequest, self._answer)
        mesh.on_question(ClaimEnd, self._take_end)
        mesh.on_late(ClaimRequest, self._take_late)

    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        """Win the key, or return the earlier run's answer, or why not."""
        number = stream_number(organisation, key, self._claims.partitions)
        owner = home_of(OWNERSHIP, number, self._view.routers())
        if owner is None or owner == self._node:
            return await self._claims.claim(organisation, key)
        if owner not in self._mesh.pool:
            self._mesh.set_peers(self._view.routers())
        answer = await self._mesh.ask(
            owner,
            ClaimRequest(organisation, key),
            OWNER_TIMEOUT,
            OWNER_PATIENCE,
        )
        if isinstance(answer, ClaimAnswer):
            got = _result_of(answer, organisation, key)
            if isinstance(got, Claim):
                self._owners[got] = owner
            return got
        if isinstance(answer, Unanswered) and not answer.sent:
            return await self._claims.claim(organisation, key)
        return Refusal(
            Reason.CLAIM_UNAVAILABLE, RETRY_AFTER, 'nothing ran; no answer'
        )

    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        """Keep the answer for repeats of the key, as far as possible."""
        owner = self._owners.pop(claim, None)
        if owner is None:
            await self._claims.settle(claim, answer)
            return
        self._tell_soon(owner, _settled_end(claim, answer))

    async def void(self, claim: Claim) -> None:
        """Give the key back: the request provably did not run."""
        owner = self._owners.pop(claim, None)
        if owner is None:
            await self._claims.void(claim)
            return
        self._tell_soon(owner, _void_end(claim))

    def _tell_soon(self, owner: str, end: ClaimEnd) -> None:
        task = asyncio.create_task(self._tell(owner, end))
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    async def _tell(self, owner: str, end: ClaimEnd) -> None:
        for _ in range(END_TRIES):
            answer = await self._mesh.ask(owner, end, END_TIMEOUT)
            if isinstance(answer, ClaimEndConfirmed):
                return
            await self._clock.sleep(END_TIMEOUT)

    async def _answer(self, peer: str, ask: ClaimRequest) -> Message:
        got = await self._claims.claim(ask.organisation, ask.key)
        return _answer_of(got)

    async def _take_end(self, peer: str, end: ClaimEnd) -> Message:
        claim = Claim(end.organisation, end.key, '', end.offset)
        if end.ran:
            answer = SettledAnswer(end.status, end.body, end.content_type)
            await self._claims.settle(claim, answer)
        else:
            await self._claims.void(claim)
        return ClaimEndConfirmed()

    def _take_late(self, peer: str, ask: ClaimRequest, answer: Message) -> None:
        """Give back a key that was won when nobody waited any more."""
        if isinstance(answer, ClaimAnswer):
            got = _result_of(answer, ask.organisation, ask.key)
            if isinstance(got, Claim):
                self._tell_soon(peer, _void_end(got))


def _answer_of(got: Claim | SettledAnswer | Refusal) -> ClaimAnswer:
    if isinstance(got, Claim):
        return ClaimAnswer(offset=got.offset, stream=got.stream)
    if isinstance(got, SettledAnswer):
        return ClaimAnswer(
            status=got.status, body=got.body, content_type=got.content_type
        )
    retry_after = -1
    if got.retry_after is not None:
        retry_after = got.retry_after // MILLISECOND
    return ClaimAnswer(
        reason=got.reason.value, retry_after=retry_after, detail=got.detail
    )


def _result_of(
    answer: ClaimAnswer, organisation: str, key: str
) -> Claim | SettledAnswer | Refusal:
    if answer.offset >= 0:
        return Claim(organisation, key, answer.stream, answer.offset)
    if not answer.reason:
        return SettledAnswer(answer.status, answer.body, answer.content_type)
    retry_after = None
    if answer.retry_after >= 0:
        retry_after = answer.retry_after * MILLISECOND
    try:
        reason = Reason(answer.reason)
    except ValueError:
        # What this router does not know may mean that the request ran.
        reason = Reason.CLAIM_TAKEN
    return Refusal(reason, retry_after, answer.detail)


def _settled_end(claim: Claim, answer: SettledAnswer) -> ClaimEnd:
    return ClaimEnd(
        claim.organisation,
        claim.key,
        claim.offset,
        ran=True,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
    )


def _void_end(claim: Claim) -> ClaimEnd:
    return ClaimEnd(claim.organisation, claim.key, claim.offset, ran=False)
