"""
bergamotshed.routers.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares crash reports, so that a request that crashed an upstream is known to
every router before its caller sends it again.
"""

__all__ = ('CrashExchange',)

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..routing.quarantine import Crash, CrashReport, Quarantine
from ..routing.view import RouterView
from .mesh import PeerMesh
from .messages import CrashNotice, CrashNotices, CrashNoticesRequest, Message

MILLISECOND = timedelta(milliseconds=1)

#: How long one peer may take to confirm or send reports.
TELL_TIMEOUT = timedelta(milliseconds=500)

#: How often a peer that does not confirm is told.
TELL_TRIES = 5

#: Pause between two looks for peers that can be asked after the start.
PULL_PAUSE = timedelta(milliseconds=500)

#: Peers that a new router asks for the reports before its time.
PULL_PEERS = 2


class CrashExchange:
    """Tells the peers of each crash noticed here and merges theirs.

    :param node: this router's name
    """

    def __init__(
        self,
        node: str,
        mesh: PeerMesh,
        view: RouterView,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._view = view
        self._quarantine = quarantine
        self._clock = clock
        self._telling: set[asyncio.Task[None]] = set()
        mesh.on_question(CrashNotice, self._take)
        mesh.on_question(CrashNoticesRequest, self._answer)
        quarantine.add_listener(self._tell_all)

    async def run(self) -> None:
        """Fetch what the peers knew before this router started."""
        asked: set[str] = set()
        while len(asked) < PULL_PEERS:
            for peer in self._peers() - asked:
                answer = await self._mesh.ask(
                    peer, CrashNoticesRequest(), TELL_TIMEOUT
                )
                if isinstance(answer, CrashNotices):
                    asked.add(peer)
                    self._quarantine.merge(map(_report, answer.notices))
            await self._clock.sleep(PULL_PAUSE)
        await asyncio.Event().wait()

    def _peers(self) -> set[str]:
        return {
            router.name
            for router in self._view.routers()
            if router.name != self._node
        }

    def _tell_all(self, report: CrashReport) -> None:
        notice = _notice(report)
        for peer in self._peers():
            task = asyncio.create_task(self._tell(peer, notice))
            self._telling.add(task)
            task.add_done_callback(self._telling.discard)

    async def _tell(self, peer: str, notice: CrashNotice) -> None:
        for _ in range(TELL_TRIES):
            answer = await self._mesh.ask(peer, notice, TELL_TIMEOUT)
            if isinstance(answer, CrashNotices):
                return
            await self._clock.sleep(TELL_TIMEOUT)

    async def _take(self, peer: str, notice: CrashNotice) -> Message:
        self._quarantine.merge((_report(notice),))
        return CrashNotices()

    async def _answer(self, peer: str, ask: CrashNoticesRequest) -> Message:
        reports = self._quarantine.export()
        return CrashNotices(tuple(map(_notice, reports)))


def _notice(report: CrashReport) -> CrashNotice:
    return CrashNotice(
        report.crash.upstream,
        report.crash.boot,
        report.fingerprints,
        report.age // MILLISECOND,
        report.pending,
    )


def _report(notice: CrashNotice) -> CrashReport:
    return CrashReport(
        Crash(notice.upstream, notice.boot),
        notice.fingerprints,
        notice.age * MILLISECOND,
        notice.pending,
    )
