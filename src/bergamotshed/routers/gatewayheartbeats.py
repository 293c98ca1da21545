"""
bergamotshed.routers.gatewayheartbeats
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other gateways that this one lives and takes requests, and knows
which of them do.
"""

__all__ = ('GatewayHeartbeats',)

from collections.abc import Callable, Sequence
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.view import RouterNode
from .mesh import PeerMesh
from .messages import GatewayHeartbeat

#: Time between two beats in a small fleet.
PERIOD = timedelta(milliseconds=500)
#: Peers to which beats are sent once a period; a larger fleet beats more
#: slowly, so that a router sends as many messages a second in any.
PEERS_A_PERIOD = 32
#: Beats that may be missed in a row before a router counts as silent: one
#: for a lost connection, one for a busy peer.
MISSED = 2.5


class GatewayHeartbeats:
    """Beats and listens; run it in one task.

    :param nodes: gives the listed routers, this one included
    :param own: gives what this router says of itself
    """

    def __init__(
        self,
        mesh: PeerMesh,
        name: str,
        nodes: Callable[[], Sequence[RouterNode]],
        own_heartbeat: Callable[[], GatewayHeartbeat],
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._name = name
        self._nodes = nodes
        self._own = own_heartbeat
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._beats: dict[str, GatewayHeartbeat] = {}
        self._silent: frozenset[str] = frozenset()
        mesh.on_notice(GatewayHeartbeat, self._hear)

    @property
    def latest_heartbeats(self) -> dict[str, GatewayHeartbeat]:
        """Return the last beat of each router; not to be changed."""
        return self._beats

    @property
    def silent_routers(self) -> frozenset[str]:
        """Return the routers that were listed and are not heard."""
        return self._silent

    def has_ready_peer(self) -> bool:
        """Tell whether another router says that it takes requests."""
        heard = self._heard_at.keys() - self._silent
        return any(
            beat.ready for name, beat in self._beats.items() if name in heard
        )

    def live_routers(self) -> tuple[str, ...]:
        """Return the routers that stay and live, sorted, this one included."""
        return tuple(
            sorted(
                node.name
                for node in self._nodes()
                if not node.leaving and node.name not in self._silent
            )
        )

    async def run(self) -> None:
        """Beat until cancelled."""
        await self._mesh.start()
        try:
            while True:
                await self._clock.sleep(self.tick())
        finally:
            await self._mesh.close()

    def tick(self) -> timedelta:
        """Beat once and return the time until the next beat."""
        others = [node for node in self._nodes() if node.name != self._name]
        self._mesh.set_peers(others)
        beat = self._own()
        for node in others:
            self._mesh.send(node.name, beat)
        period = PERIOD * max(1, len(others) / PEERS_A_PERIOD)
        self._judge(others, period)
        return period

    def is_usable(self, name: str) -> bool:
        """Tell whether callers may be sent to a router.

        One that is listed and was not heard yet is believed to live.
        """
        if name in self._silent:
            return False
        beat = self._beats.get(name)
        return beat is None or beat.ready

    def _hear(self, peer: str, beat: GatewayHeartbeat) -> None:
        self._heard_at[peer] = self._clock.boottime()
        self._beats[peer] = beat

    def _judge(self, others: Sequence[RouterNode], period: timedelta) -> None:
        now = self._clock.boottime()
        names = {node.name for node in others}
        horizon = now - period.total_seconds() * MISSED
        self._heard_at = {peer: self._heard_at.get(peer, now) for peer in names}
        silent = frozenset(
            peer for peer, at in self._heard_at.items() if at < horizon
        )
        for changed in silent ^ self._silent:
            log_message(
                'router.silent' if changed in silent else 'router.heard',
                peer=changed,
                unheard_s=round(now - self._heard_at.get(changed, now), 3),
            )
        self._silent = silent
