"""
bergamotshed.routers.loadhomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the load bound of upstreams over all routers of a large fleet: asks the
home of an upstream before each request, and acts as the home of some.

A router decides alone in a small fleet, and while a home does not answer.
"""

__all__ = ('LoadHomes',)

import math
import random
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.inflight import grant_series
from ..routing.load_home import LoadHome, needs_load_homes
from ..routing.types import LoadGrant, SharedLoads
from ..upstreams.types import Incarnation, Instance
from .gatewayheartbeats import GatewayHeartbeats
from .homes import HOME_ASK_TIMEOUT, home_of_upstream
from .loadmessages import LoadAnswer, LoadRelease, LoadRequest
from .mesh import PeerMesh
from .messages import Message

MILLISECOND = timedelta(milliseconds=1)
#: How long a home is not asked again that did not answer.
UNANSWERED_PAUSE = timedelta(milliseconds=500)


class LoadHomes(SharedLoads):
    """Asks the homes of upstreams, and acts as one.

    :param node: this router's name
    :param heartbeats: shows which routers are alive
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        heartbeats: GatewayHeartbeats,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._heartbeats = heartbeats
        self._clock = clock
        self._home = LoadHome(clock, grant_series(random.Random()))
        self._paused_until: dict[str, float] = {}
        mesh.on_question(LoadRequest, self._answer_request)
        mesh.on_notice(LoadRelease, self._handle_release)
        mesh.on_late_answer(LoadRequest, self._release_late)

    @property
    def home(self) -> LoadHome:
        """Return the home on this router."""
        return self._home

    async def acquire(
        self, instance: Instance, bound: float, lifetime: timedelta
    ) -> LoadGrant | None:
        """Ask whether an upstream has at most so many requests."""
        live = self._heartbeats.live_routers()
        if not needs_load_homes(len(live)):
            return None
        upstream = instance.incarnation
        home = home_of_upstream(upstream, live)
        if home == self._node:
            return self._grant(self._node, upstream, bound, lifetime)
        return await self._ask(home, upstream, bound, lifetime)

    def release(self, grant: LoadGrant) -> None:
        """Release a grant."""
        if grant.home in {'', self._node}:
            self._home.release(self._node, grant.number)
        else:
            self._mesh.send(grant.home, LoadRelease(grant.number))

    def release_silent_routers(self) -> None:
        """Release the grants of routers that became silent."""
        self._home.release_routers(self._heartbeats.silent_routers)

    async def _ask(
        self,
        home: str,
        upstream: Incarnation,
        bound: float,
        lifetime: timedelta,
    ) -> LoadGrant | None:
        now = self._clock.monotonic()
        if self._paused_until.get(home, -math.inf) > now:
            return None
        answer = await self._mesh.ask(
            home,
            LoadRequest(*upstream, bound, lifetime // MILLISECOND),
            HOME_ASK_TIMEOUT,
        )
        if isinstance(answer, LoadAnswer):
            self._paused_until.pop(home, None)
            return LoadGrant(answer.grant, answer.in_flight, home)
        self._paused_until[home] = now + UNANSWERED_PAUSE.total_seconds()
        log_message('load.home_unanswered', upstream=upstream[0], home=home)
        return None

    def _grant(
        self,
        router: str,
        upstream: Incarnation,
        bound: float,
        lifetime: timedelta,
    ) -> LoadGrant:
        """Grant a request at this home.

        What the routers told each other counts as well: it includes requests
        that a former home granted, or that were sent without a grant.
        """
        told_count = self._heartbeats.loads.counted_load(upstream)
        return self._home.grant(
            router, upstream[0], bound, lifetime, told_count
        )

    async def _answer_request(self, peer: str, request: LoadRequest) -> Message:
        grant = self._grant(
            peer,
            (request.upstream, request.born),
            request.bound,
            request.lifetime * MILLISECOND,
        )
        return LoadAnswer(grant.number, grant.in_flight)

    def _handle_release(self, peer: str, release: LoadRelease) -> None:
        self._home.release(peer, release.grant)

    def _release_late(
        self, peer: str, _request: LoadRequest, answer: Message
    ) -> None:
        """Release a grant that arrives after this router stopped waiting."""
        if isinstance(answer, LoadAnswer) and answer.grant:
            self._mesh.send(peer, LoadRelease(answer.grant))
