"""
bergamotshed.routers.gatewayheartbeats
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Heartbeats between gateways: each sends the others whether it takes requests
and keeps track of which of them are alive.
"""

__all__ = ('GatewayHeartbeats',)

import asyncio
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.upstream_loads import UpstreamLoads
from ..routing.view import RouterNode
from .mesh import PeerMesh
from .messages import GatewayHeartbeat, HeartbeatRequest, Message

#: Time between two heartbeats in a small fleet.
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
#: Maximum number of peers at the shortest interval; with more peers the
#: interval grows, so that the rate of messages that a router sends stays the
#: same.
PEERS_PER_INTERVAL = 32
#: Intervals without a heartbeat after which a router counts as silent: one may
#: be lost with a connection and one delayed by a busy peer.
SILENT_AFTER_INTERVALS = 2.5
#: Routers that a starting router asks for their version, and how long it waits
#: for an answer; each router that was running knows the newest version.
ASKED_PEERS = 4
ASK_TIMEOUT = timedelta(milliseconds=150)


HeartbeatListener = Callable[[str, GatewayHeartbeat], None]


class GatewayHeartbeats:
    """Sends and receives heartbeats; run it in one task.

    :param nodes: returns the listed routers, including this one
    :param own_heartbeat: returns the heartbeat of this router
    :param hear_version: receives the versions of others
    :ivar loads: the requests on upstreams, of this router and of others
    :ivar listeners: called with the sender and each heartbeat
    """

    def __init__(
        self,
        mesh: PeerMesh,
        name: str,
        nodes: Callable[[], Sequence[RouterNode]],
        own_heartbeat: Callable[[], GatewayHeartbeat],
        hear_version: Callable[[int], None],
        loads: UpstreamLoads,
        clock: Clock,
    ) -> None:
        self.loads = loads
        self.listeners: list[HeartbeatListener] = []
        self._mesh = mesh
        self._name = name
        self._hear_version = hear_version
        self._nodes = nodes
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._received_at: dict[str, float] = {}
        self._latest_heartbeats: dict[str, GatewayHeartbeat] = {}
        self._silent_routers: frozenset[str] = frozenset()
        mesh.on_notice(GatewayHeartbeat, self._receive)
        mesh.on_question(HeartbeatRequest, self._answer)

    @property
    def mesh(self) -> PeerMesh:
        """Return the connections to the other routers."""
        return self._mesh

    @property
    def latest_heartbeats(self) -> dict[str, GatewayHeartbeat]:
        """Return the last heartbeat of each router; not to be modified."""
        return self._latest_heartbeats

    @property
    def silent_routers(self) -> frozenset[str]:
        """Return the listed routers whose heartbeats stopped."""
        return self._silent_routers

    def has_ready_peer(self) -> bool:
        """Return whether another live router takes requests."""
        live = self._received_at.keys() - self._silent_routers
        return any(
            heartbeat.ready
            for name, heartbeat in self._latest_heartbeats.items()
            if name in live
        )

    def live_routers(self) -> tuple[str, ...]:
        """Return the live routers that are not leaving, including this one.

        They are sorted by name.
        """
        return tuple(
            sorted(
                node.name
                for node in self._nodes()
                if not node.leaving and node.name not in self._silent_routers
            )
        )

    def live_share(self) -> float:
        """Return the share of the routers that are not leaving that is live.

        Routers that can't hear each other see shares that add up to one.
        """
        staying = sum(not node.leaving for node in self._nodes())
        live = len(self.live_routers())
        return min(1, max(1, live) / max(1, staying))

    async def ask_versions(self) -> None:
        """Ask some peers for their versions; for the start of a router."""
        others = [
            node
            for node in self._nodes()
            if node.name != self._name and not node.leaving
        ]
        self._mesh.set_peers(others)
        await asyncio.gather(
            *(
                self._ask(node.name)
                for node in random.sample(others, min(ASKED_PEERS, len(others)))
            )
        )

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        try:
            await self._mesh.start()
            while True:
                await self._clock.sleep(self.tick())
        finally:
            await self._mesh.close()

    def tick(self) -> timedelta:
        """Send one heartbeat; return the time until the next one."""
        others = [node for node in self._nodes() if node.name != self._name]
        self._mesh.set_peers(others)
        heartbeat = self._own_heartbeat()
        for node in others:
            self._mesh.send(node.name, heartbeat)
        period = HEARTBEAT_INTERVAL * max(1, len(others) / PEERS_PER_INTERVAL)
        self._update_silent(others, period)
        return period

    def is_usable(self, name: str) -> bool:
        """Return whether callers may be sent to a router.

        A listed router that has sent no heartbeat yet counts as alive.
        """
        if name in self._silent_routers:
            return False
        heartbeat = self._latest_heartbeats.get(name)
        return heartbeat is None or heartbeat.ready

    def _receive(self, peer: str, heartbeat: GatewayHeartbeat) -> None:
        self._received_at[peer] = self._clock.boottime()
        self._latest_heartbeats[peer] = heartbeat
        self._hear_version(heartbeat.version)
        self.loads.peers.record(peer, heartbeat.loads)
        for listener in self.listeners:
            listener(peer, heartbeat)

    async def _ask(self, peer: str) -> None:
        answer = await self._mesh.ask(
            peer, HeartbeatRequest(), ASK_TIMEOUT, ASK_TIMEOUT
        )
        if isinstance(answer, GatewayHeartbeat):
            self._receive(peer, answer)

    async def _answer(self, _peer: str, _request: HeartbeatRequest) -> Message:
        return self._own_heartbeat()

    def _update_silent(
        self, others: Sequence[RouterNode], period: timedelta
    ) -> None:
        now = self._clock.boottime()
        names = {node.name for node in others}
        silence_limit = now - period.total_seconds() * SILENT_AFTER_INTERVALS
        self._received_at = {
            peer: self._received_at.get(peer, now) for peer in names
        }
        silent = frozenset(
            peer
            for peer, received_at in self._received_at.items()
            if received_at < silence_limit
        )
        for peer in silent ^ self._silent_routers:
            log_message(
                'router.silent' if peer in silent else 'router.heard',
                peer=peer,
                unheard_s=round(now - self._received_at.get(peer, now), 3),
            )
        self._silent_routers = silent
