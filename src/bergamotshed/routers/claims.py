"""
bergamotshed.routers.claims
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends each idempotency claim to the router that owns the stream of its key.
Only the owner follows the stream, and it batches the claims of all routers.
The order of records in the log decides who wins, so it is safe if two
routers both take themselves for the owner.
"""

__all__ = ('OwnerClaims',)

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
from .errors import NoAnswer
from .mesh import PeerMesh
from .messages import Message

#: Hash key of stream owners in rendezvous hashing, in place of a service name.
OWNER_HASH_KEY = 'claims'

#: How long to wait for the first reply of an owner.
OWNER_TIMEOUT = timedelta(milliseconds=150)

#: How long an owner may take in all to read its own record back from the log.
MAX_OWNER_WAIT = timedelta(milliseconds=2500)

#: How long an owner may take to confirm a :class:`ClaimEnd`, and how often the
#: message is sent at most.
END_TIMEOUT = timedelta(milliseconds=500)
MAX_END_ATTEMPTS = 5

#: Retry delay for a caller whose claim got no answer.
RETRY_AFTER = timedelta(seconds=2)

MILLISECOND = timedelta(milliseconds=1)


class OwnerClaims(Claims):
    """Claims keys at the stream's owner, or in the log if it can't be reached.

    :param node: this router's name
    :param claims: claims keys directly in the log
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
        self._end_tasks: set[asyncio.Task[None]] = set()
        mesh.on_question(ClaimRequest, self._handle_claim)
        mesh.on_question(ClaimEnd, self._handle_end)
        mesh.on_late_answer(ClaimRequest, self._void_late_claim)

    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        """Win the key, or return an earlier run's answer or a refusal."""
        number = stream_number(organisation, key, self._claims.partitions)
        owner = home_of(OWNER_HASH_KEY, number, self._view.routers())
        if owner is None or owner == self._node:
            return await self._claims.claim(organisation, key)
        if owner not in self._mesh.pool:
            self._mesh.set_peers(self._view.routers())
        answer = await self._mesh.ask(
            owner,
            ClaimRequest(organisation, key),
            OWNER_TIMEOUT,
            MAX_OWNER_WAIT,
        )
        if isinstance(answer, ClaimAnswer):
            result = _result_of(answer, organisation, key)
            if isinstance(result, Claim):
                self._owners[result] = owner
            return result
        if isinstance(answer, NoAnswer) and not answer.is_sent:
            return await self._claims.claim(organisation, key)
        return Refusal(
            Reason.CLAIM_UNAVAILABLE,
            RETRY_AFTER,
            'nothing ran; no answer',
        )

    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        """Store the answer for repeats of the key, on a best-effort basis."""
        owner = self._owners.pop(claim, None)
        if owner is None:
            await self._claims.settle(claim, answer)
            return
        self._send_end_in_background(owner, _settled_end(claim, answer))

    async def void(self, claim: Claim) -> None:
        """Release the key, as the request certainly did not run."""
        owner = self._owners.pop(claim, None)
        if owner is None:
            await self._claims.void(claim)
            return
        self._send_end_in_background(owner, _void_end(claim))

    def _send_end_in_background(self, owner: str, end: ClaimEnd) -> None:
        task = asyncio.create_task(self._send_end(owner, end))
        self._end_tasks.add(task)
        task.add_done_callback(self._end_tasks.discard)

    async def _send_end(self, owner: str, end: ClaimEnd) -> None:
        for _ in range(MAX_END_ATTEMPTS):
            answer = await self._mesh.ask(owner, end, END_TIMEOUT)
            if isinstance(answer, ClaimEndConfirmed):
                return
            await self._clock.sleep(END_TIMEOUT)

    async def _handle_claim(self, peer: str, request: ClaimRequest) -> Message:
        result = await self._claims.claim(request.organisation, request.key)
        return _claim_answer_of(result)

    async def _handle_end(self, peer: str, end: ClaimEnd) -> Message:
        claim = Claim(end.organisation, end.key, '', end.offset)
        if end.has_run:
            answer = SettledAnswer(end.status, end.body, end.content_type)
            await self._claims.settle(claim, answer)
        else:
            await self._claims.void(claim)
        return ClaimEndConfirmed()

    def _void_late_claim(
        self, peer: str, request: ClaimRequest, answer: Message
    ) -> None:
        """Void a claim that was won after this router stopped waiting."""
        if isinstance(answer, ClaimAnswer):
            result = _result_of(answer, request.organisation, request.key)
            if isinstance(result, Claim):
                self._send_end_in_background(peer, _void_end(result))


def _claim_answer_of(result: Claim | SettledAnswer | Refusal) -> ClaimAnswer:
    if isinstance(result, Claim):
        return ClaimAnswer(offset=result.offset, stream=result.stream)
    if isinstance(result, SettledAnswer):
        return ClaimAnswer(
            status=result.status,
            body=result.body,
            content_type=result.content_type,
        )
    retry_after = -1
    if result.retry_after is not None:
        retry_after = result.retry_after // MILLISECOND
    return ClaimAnswer(
        reason=result.reason.value,
        retry_after=retry_after,
        detail=result.detail,
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
        # A reason that this router does not know may mean that the request ran.
        reason = Reason.CLAIM_TAKEN
    return Refusal(reason, retry_after, answer.detail)


def _settled_end(claim: Claim, answer: SettledAnswer) -> ClaimEnd:
    return ClaimEnd(
        claim.organisation,
        claim.key,
        claim.offset,
        has_run=True,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
    )


def _void_end(claim: Claim) -> ClaimEnd:
    return ClaimEnd(claim.organisation, claim.key, claim.offset, has_run=False)
