"""
bergamotshed.routers.heartbeats
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the peers once a second that this router lives and what it has seen,
and at once when that has changed.
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
from .mesh import PeerMesh
from .messages import Heartbeat
from .placer import HomePlacer
from .reports import heartbeat_of, report_of

#: Time between two heartbeats to a peer when nothing changes.
PERIOD = timedelta(seconds=1)

#: Time between two looks at what has changed.
TICK = timedelta(milliseconds=100)

#: A probe that takes longer has failed.
PROBE_TIMEOUT = timedelta(seconds=1)

#: Tells whether an upstream answers.
Probe = Callable[[Upstream], Awaitable[bool]]


class Heartbeats:
    """Drives membership, health and the homes; run it in one task.

    :param probe: tries one upstream; ``None`` leaves suspects to requests
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
        self._beat_at = clock.monotonic()
        self._repeat_at = self._beat_at + PERIOD.total_seconds() / 2
        self._last: Heartbeat | None = None
        self._told: tuple[object, ...] = ()
        self._missed: set[str] = set()
        self._routers: tuple[RouterNode, ...] = ()
        self._schedule = ProbeSchedule(view.node.name, view.health, clock)
        self._probing: set[asyncio.Task[None]] = set()
        mesh.on_notice(Heartbeat, self._hear)

    async def run(self) -> None:
        """Beat until cancelled."""
        try:
            while True:
                self.tick()
                await self._clock.sleep(TICK)
        finally:
            for task in self._probing:
                task.cancel()

    async def announce(self) -> None:
        """Tell the peers that this router leaves and hand its homes on."""
        self._view.drain()
        self._beat()
        self._placer.home_manager.check_homes()

    def tick(self) -> None:
        """Take one step: judge silence, probe, beat, repeat vectors."""
        now = self._clock.monotonic()
        self._view.tick()
        self._follow_routers()
        self._start_probes()
        if now >= self._beat_at or self._news() != self._told:
            self._beat()
        self._send_missed()
        if now >= self._repeat_at:
            self._repeat_at = now + PERIOD.total_seconds()
            self._placer.home_manager.check_homes()
            self._placer.home_manager.resend_counts()
            self._mesh.pool.close_idle()

    def _follow_routers(self) -> None:
        routers = self._view.routers()
        if routers is not self._routers:
            self._routers = routers
            self._mesh.set_peers(routers)
            self._placer.home_manager.check_homes()

    def _hear(self, peer: str, beat: Heartbeat) -> None:
        if beat.node == peer:
            self._view.merge_report(report_of(beat))

    def _compose(self) -> Heartbeat:
        return heartbeat_of(
            self._view,
            self._mesh.incarnation,
            self._seq,
            self._configuration.version,
        )

    def _news(self) -> tuple[object, ...]:
        """Return what is worth a heartbeat before its time."""
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

    def _beat(self) -> None:
        self._beat_at = self._clock.monotonic() + PERIOD.total_seconds()
        self._seq += 1
        self._last = self._compose()
        self._told = self._news()
        self._missed = set(self._monitors())
        self._send_missed()

    def _send_missed(self) -> None:
        """Send the last heartbeat to the peers that could not get it yet."""
        if self._last is None or not self._missed:
            return
        self._missed = {
            peer
            for peer in self._missed
            if not self._mesh.send(peer, self._last)
        }

    def _start_probes(self) -> None:
        if self._probe is None:
            return
        routers = [node.name for node in self._view.routers()]
        due = set(self._schedule.due(routers))
        if not due:
            return
        for service in self._view.services:
            for upstream in self._view.upstreams(service):
                if upstream.name in due:
                    self._start_probe(self._probe, upstream)

    def _start_probe(self, probe: Probe, upstream: Upstream) -> None:
        task = asyncio.create_task(self._run_probe(probe, upstream))
        self._probing.add(task)
        task.add_done_callback(self._probing.discard)

    async def _run_probe(self, probe: Probe, upstream: Upstream) -> None:
        alive = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
                alive = await probe(upstream)
        except TimeoutError:
            alive = False
        outcome = Outcome.DONE if alive else Outcome.UNREACHABLE
        self._view.health.record_outcome(upstream.name, outcome)
