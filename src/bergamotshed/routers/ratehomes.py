"""
bergamotshed.routers.ratehomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the limits of upstreams over all routers.

Each upstream with a limit has a home among the live routers, which grants each
request that is sent there. A home grants the part of the limit that belongs to
the routers it hears: while some are cut off, the homes on both sides together
grant no more than the limit. A router whose home does not answer sends nothing.
"""

__all__ = ('RateHomes',)

import asyncio
import math
import random
from collections.abc import Iterable
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.known_limits import KnownLimits, RateLimit
from ..routing.rate_home import RateGrant, RateHome
from ..routing.types import SharedRates
from ..upstreams.types import Incarnation, Instance
from .confirmednotices import ConfirmedNotices
from .gatewayheartbeats import GatewayHeartbeats
from .homes import HOME_ASK_TIMEOUT, home_of_upstream
from .mesh import PeerMesh
from .messages import Message
from .ratemessages import (
    LimitRecord,
    LimitsKnown,
    LimitsRequest,
    RateAnswer,
    RateRequest,
)
from .spreadnotices import SpreadNotices

MILLISECOND = timedelta(milliseconds=1)
#: Pause before a home that did not answer is asked again.
UNANSWERED_PAUSE = timedelta(milliseconds=200)
#: Shortest pause before a home that refused is asked again.
MIN_PAUSE = timedelta(milliseconds=5)
#: Routers that a starting router asks for the limits, and how long it waits.
ASKED_PEERS = 4
START_TIMEOUT = timedelta(milliseconds=150)


class RateHomes(SharedRates):
    """Asks the homes of upstreams for leave to send, and acts as one.

    :param node: this router's name
    :param heartbeats: shows which of the listed routers are alive
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        notices: ConfirmedNotices,
        heartbeats: GatewayHeartbeats,
        clock: Clock,
    ) -> None:
        self.known = KnownLimits(clock)
        self._node = node
        self._mesh = mesh
        self._notices = notices
        self._heartbeats = heartbeats
        self._clock = clock
        self._home = RateHome(clock)
        self._news: SpreadNotices[Incarnation, RateLimit] = SpreadNotices(
            notices, clock, self._records
        )
        mesh.on_question(RateRequest, self._answer_request)
        mesh.on_question(LimitsKnown, self._receive_limits)
        mesh.on_question(LimitsRequest, self._answer_limits)

    def record_limit(
        self, instance: Instance, rate: float | None, sent_at: float
    ) -> None:
        """Record the limit that an answer names, and tell the peers."""
        upstream = instance.incarnation
        if self.known.record_answer(upstream, rate, sent_at):
            log_message(
                'upstream.limit',
                upstream=instance.name,
                born=instance.born,
                rate=rate,
            )
            limit = RateLimit(rate, self._clock.monotonic())
            self._news.schedule(upstream, limit)

    def record_pause(self, instance: Instance, duration: timedelta) -> None:
        """Record for how long an upstream wants nothing from this router."""
        if self.known.pause(instance.incarnation, duration):
            log_message(
                'upstream.paused',
                upstream=instance.name,
                born=instance.born,
                duration_s=duration.total_seconds(),
            )

    def barred(self, instances: Iterable[Instance]) -> frozenset[str]:
        """Return the names of those to which nothing may be sent now."""
        if not self.known.has_blocks:
            return frozenset()
        return frozenset(
            instance.name
            for instance in instances
            if self.time_blocked(instance)
        )

    def time_blocked(self, instance: Instance) -> timedelta:
        """Return how long nothing may be sent to an upstream."""
        return self.known.time_blocked(instance.incarnation)

    async def acquire(self, instance: Instance, max_wait: timedelta) -> bool:
        """Return whether a request may be sent, after waiting for its turn."""
        upstream = instance.incarnation
        if not await self.known.await_pause_end(upstream, max_wait):
            return False
        rate = self.known.rate_of(upstream)
        if rate is None:
            return True
        grant = await self._ask_home(upstream, rate, max_wait)
        if grant.is_granted:
            await self._clock.sleep(grant.wait)
        else:
            self.known.block(upstream, max(grant.wait, MIN_PAUSE))
        return grant.is_granted

    async def fetch(self) -> None:
        """Ask some peers for the limits that they know."""
        peers = sorted(self._notices.peers())
        await asyncio.gather(
            *(
                self._fetch_from(peer)
                for peer in random.sample(peers, min(ASKED_PEERS, len(peers)))
            )
        )

    async def _fetch_from(self, peer: str) -> None:
        answer = await self._mesh.ask(
            peer, LimitsRequest(), START_TIMEOUT, START_TIMEOUT
        )
        if isinstance(answer, LimitsKnown):
            self._learn(answer)

    async def _ask_home(
        self, upstream: Incarnation, rate: float, max_wait: timedelta
    ) -> RateGrant:
        live = self._heartbeats.live_routers() or (self._node,)
        home = home_of_upstream(upstream, live)
        if home == self._node:
            return self._grant(upstream, rate, max_wait)
        answer = await self._mesh.ask(
            home,
            RateRequest(*upstream, rate, max_wait // MILLISECOND),
            HOME_ASK_TIMEOUT,
        )
        if not isinstance(answer, RateAnswer):
            log_message(
                'limits.home_unanswered', upstream=upstream[0], home=home
            )
            return RateGrant(is_granted=False, wait=UNANSWERED_PAUSE)
        return RateGrant(answer.is_granted, answer.wait * MILLISECOND)

    def _grant(
        self, upstream: Incarnation, rate: float, max_wait: timedelta
    ) -> RateGrant:
        """Grant a send from the part of the limit that this home has."""
        own_rate = self.known.rate_of(upstream)
        rate = rate if own_rate is None else min(rate, own_rate)
        share = self._heartbeats.live_share()
        return self._home.grant(upstream, rate * share, max_wait)

    async def _answer_request(
        self, _peer: str, request: RateRequest
    ) -> Message:
        grant = self._grant(
            (request.upstream, request.born),
            request.rate,
            request.max_wait * MILLISECOND,
        )
        return RateAnswer(
            grant.is_granted,
            math.ceil(grant.wait / MILLISECOND),
        )

    async def _receive_limits(self, _peer: str, notice: LimitsKnown) -> Message:
        self._learn(notice)
        return LimitsKnown()

    async def _answer_limits(
        self, _peer: str, _request: LimitsRequest
    ) -> Message:
        return self._records(self.known.limits)

    def _learn(self, notice: LimitsKnown) -> None:
        now = self._clock.monotonic()
        for record in notice.records:
            upstream = (record.upstream, record.born)
            heard_at = now - (record.age * MILLISECOND).total_seconds()
            self.known.learn(upstream, RateLimit(record.rate, heard_at))
            own = self._news.waiting(upstream)
            if own is not None and (own.rate is None) is (record.rate is None):
                self._news.cancel(upstream)

    def _records(self, limits: dict[Incarnation, RateLimit]) -> LimitsKnown:
        now = self._clock.monotonic()
        return LimitsKnown(
            tuple(
                LimitRecord(
                    *upstream,
                    limit.rate,
                    timedelta(seconds=now - limit.heard_at) // MILLISECOND,
                )
                for upstream, limit in limits.items()
            )
        )
