"""
bergamotshed.routers.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Heartbeats between routers: sends this router's view of the fleet to the peers
once a second, and at once when it has changed.
"""

__all__ = ('Heartbeats', 'Probe')

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..clock import Clock
from ..control.types import ConfigurationInForce
from ..routing.membership import Membership
from ..routing.monitors import monitors_of
from ..routing.probing import ProbeSchedule
from ..routing.types import Outcome, Upstream
from ..routing.view import RouterNode
from .heartbeatcodec import heartbeat_of, report_of
from .mesh import PeerMesh
from .messages import Heartbeat
from .placer import HomePlacer

#: Time between two heartbeats to a peer when nothing changes.
HEARTBEAT_INTERVAL = timedelta(seconds=1)

#: Time between two checks for changes.
TICK_INTERVAL = timedelta(milliseconds=100)

#: A probe that takes longer counts as failed.
PROBE_TIMEOUT = timedelta(seconds=1)

#: Returns whether an upstream answers.
Probe = Callable[[Upstream], Awaitable[bool]]


class Heartbeats:
    """Updates membership, health and the homes; run it in one task.

    :param probe: checks one upstream; with ``None`` only requests show
        whether a suspect answers again
    """

    def __init__(
        self,
        mesh: PeerMesh,
        view: Membership,
        placer: HomePlacer,
        configuration: ConfigurationInForce,
        clock: Clock,
        probe: Probe | None = None,
    ) -> None:
        self._mesh = mesh
        self._view = view
        self._placer = placer
        self._configuration = configuration
        self._clock = clock
        self._probe = probe
        self._seq = 0
        self._next_heartbeat_at = clock.monotonic()
        self._next_upkeep_at = (
            self._next_heartbeat_at + HEARTBEAT_INTERVAL.total_seconds() / 2
        )
        self._last_heartbeat: Heartbeat | None = None
        self._sent_state: tuple[object, ...] = ()
        self._pending_peers: set[str] = set()
        self._routers: tuple[RouterNode, ...] = ()
        self._probe_schedule = ProbeSchedule(view.node.name, view.health, clock)
        self._probe_tasks: set[asyncio.Task[None]] = set()
        mesh.on_notice(Heartbeat, self._receive)

    async def run(self) -> None:
        """Run the periodic step until cancelled."""
        try:
            while True:
                self.tick()
                await self._clock.sleep(TICK_INTERVAL)
        finally:
            for task in self._probe_tasks:
                task.cancel()

    async def announce_leaving(self) -> None:
        """Tell the peers that this router leaves; hand over its homes."""
        self._view.drain()
        self._send_heartbeat()
        self._placer.home_manager.check_homes()

    def tick(self) -> None:
        """Check for silent routers, probe upstreams and send what is due."""
        now = self._clock.monotonic()
        self._view.tick()
        self._update_routers()
        self._start_probes()
        if (
            now >= self._next_heartbeat_at
            or self._urgent_state() != self._sent_state
        ):
            self._send_heartbeat()
        self._send_to_pending()
        if now >= self._next_upkeep_at:
            self._next_upkeep_at = now + HEARTBEAT_INTERVAL.total_seconds()
            self._placer.home_manager.check_homes()
            self._placer.home_manager.resend_counts()
            self._mesh.pool.close_idle()

    def _update_routers(self) -> None:
        routers = self._view.routers()
        if routers is not self._routers:
            self._routers = routers
            self._mesh.set_peers(routers)
            self._placer.home_manager.check_homes()

    def _receive(self, peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.node == peer:
            self._view.merge_report(report_of(heartbeat))

    def _compose(self) -> Heartbeat:
        return heartbeat_of(
            self._view,
            self._mesh.incarnation,
            self._seq,
            self._configuration.version,
        )

    def _urgent_state(self) -> tuple[object, ...]:
        """Return the state whose change is sent at once."""
        view = self._view
        return (
            self._configuration.version,
            view.leaving.names,
            view.silent_routers.names,
            view.health.suspects.names,
            view.health.cleared.names,
        )

    def _monitors(self) -> list[str]:
        names = [node.name for node in self._view.routers()]
        return monitors_of(self._view.node.name, names)

    def _send_heartbeat(self) -> None:
        self._next_heartbeat_at = (
            self._clock.monotonic() + HEARTBEAT_INTERVAL.total_seconds()
        )
        self._seq += 1
        self._last_heartbeat = self._compose()
        self._sent_state = self._urgent_state()
        self._pending_peers = set(self._monitors())
        self._send_to_pending()

    def _send_to_pending(self) -> None:
        """Send the last heartbeat to the peers that it was not sent to yet."""
        if self._last_heartbeat is None or not self._pending_peers:
            return
        self._pending_peers = {
            peer
            for peer in self._pending_peers
            if not self._mesh.send(peer, self._last_heartbeat)
        }

    def _start_probes(self) -> None:
        if self._probe is None:
            return
        routers = [node.name for node in self._view.routers()]
        due_upstreams = set(self._probe_schedule.due(routers))
        if not due_upstreams:
            return
        for service in self._view.services:
            for upstream in self._view.upstreams(service):
                if upstream.name in due_upstreams:
                    self._start_probe(self._probe, upstream)

    def _start_probe(self, probe: Probe, upstream: Upstream) -> None:
        task = asyncio.create_task(self._run_probe(probe, upstream))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    async def _run_probe(self, probe: Probe, upstream: Upstream) -> None:
        is_alive = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
                is_alive = await probe(upstream)
        except TimeoutError:
            is_alive = False
        outcome = Outcome.DONE if is_alive else Outcome.UNREACHABLE
        self._view.health.record_outcome(upstream.name, outcome)
