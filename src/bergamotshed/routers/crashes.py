"""
bergamotshed.routers.crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Shares crash reports between routers, so that all of them know a request that
crashed an upstream before its caller sends it again.
"""

__all__ = ('CrashExchange',)

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.quarantine import Crash, CrashReport, Quarantine
from ..routing.view import RouterView
from .mesh import PeerMesh
from .messages import CrashNotice, CrashNotices, CrashNoticesRequest, Message

MILLISECOND = timedelta(milliseconds=1)

#: How long to wait for a peer to confirm a notice or to send its reports,
#: and the time between two attempts to send a notice.
NOTICE_TIMEOUT = timedelta(milliseconds=500)

#: How often a notice is sent to a peer that doesn't confirm it.
MAX_NOTICE_ATTEMPTS = 5

#: Time between two attempts to fetch earlier reports after the start.
PULL_INTERVAL = timedelta(milliseconds=500)

#: Peers from which a new router fetches the earlier reports.
PULL_PEERS = 2


class CrashExchange:
    """Sends each crash detected here to the peers and merges theirs.

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
        self._notice_tasks: set[asyncio.Task[None]] = set()
        mesh.on_question(CrashNotice, self._receive_notice)
        mesh.on_question(CrashNoticesRequest, self._answer_request)
        quarantine.add_listener(self._notify_peers)

    async def run(self) -> None:
        """Fetch the reports from before this router started."""
        answered_peers: set[str] = set()
        while len(answered_peers) < PULL_PEERS:
            for peer in self._peers() - answered_peers:
                answer = await self._mesh.ask(
                    peer, CrashNoticesRequest(), NOTICE_TIMEOUT
                )
                if isinstance(answer, CrashNotices):
                    answered_peers.add(peer)
                    self._merge(peer, answer.notices)
            await self._clock.sleep(PULL_INTERVAL)
        await asyncio.Event().wait()

    def _peers(self) -> set[str]:
        return {
            router.name
            for router in self._view.routers()
            if router.name != self._node
        }

    def _notify_peers(self, report: CrashReport) -> None:
        notice = _notice_of(report)
        for peer in self._peers():
            task = asyncio.create_task(self._notify_peer(peer, notice))
            self._notice_tasks.add(task)
            task.add_done_callback(self._notice_tasks.discard)

    async def _notify_peer(self, peer: str, notice: CrashNotice) -> None:
        for _ in range(MAX_NOTICE_ATTEMPTS):
            answer = await self._mesh.ask(peer, notice, NOTICE_TIMEOUT)
            if isinstance(answer, CrashNotices):
                return
            await self._clock.sleep(NOTICE_TIMEOUT)

    async def _receive_notice(self, peer: str, notice: CrashNotice) -> Message:
        self._merge(peer, (notice,))
        return CrashNotices()

    def _merge(self, peer: str, notices: Iterable[CrashNotice]) -> None:
        reports = tuple(map(_report_of, notices))
        for report in reports:
            if not report.pending:
                self._log_if_new(peer, report)
        self._quarantine.merge(reports)

    def _log_if_new(self, peer: str, report: CrashReport) -> None:
        if self._quarantine.is_crash_known(report.crash):
            return
        log_message(
            'crash.learned',
            peer=peer,
            upstream=report.crash.upstream,
            boot=report.crash.boot,
            age_ms=report.age // MILLISECOND,
        )

    async def _answer_request(
        self, peer: str, request: CrashNoticesRequest
    ) -> Message:
        reports = self._quarantine.export()
        return CrashNotices(tuple(map(_notice_of, reports)))


def _notice_of(report: CrashReport) -> CrashNotice:
    return CrashNotice(
        report.crash.upstream,
        report.crash.boot,
        report.fingerprints,
        report.age // MILLISECOND,
        report.pending,
    )


def _report_of(notice: CrashNotice) -> CrashReport:
    return CrashReport(
        Crash(notice.upstream, notice.boot),
        notice.fingerprints,
        notice.age * MILLISECOND,
        notice.pending,
    )
