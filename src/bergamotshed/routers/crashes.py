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
from ..routing.crashes import Crash, CrashReport, PartSighting
from ..routing.quarantine import Quarantine
from .confirmednotices import NOTICE_TIMEOUT, ConfirmedNotices
from .mesh import PeerMesh
from .messages import CrashNotice, CrashNotices, CrashNoticesRequest, Message

MILLISECOND = timedelta(milliseconds=1)

#: Time between two attempts to fetch earlier reports after the start.
PULL_INTERVAL = timedelta(milliseconds=500)

#: Peers from which a new router fetches the earlier reports.
PULL_PEERS = 2


class CrashExchange:
    """Sends each crash detected here to the peers and merges theirs."""

    def __init__(
        self,
        mesh: PeerMesh,
        notices: ConfirmedNotices,
        quarantine: Quarantine,
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._notices = notices
        self._quarantine = quarantine
        self._clock = clock
        mesh.on_question(CrashNotice, self._receive_notice)
        mesh.on_question(CrashNoticesRequest, self._answer_request)
        quarantine.add_listener(self._notify_peers)

    async def run(self) -> None:
        """Fetch the reports from before this router started."""
        answered_peers: set[str] = set()
        while len(answered_peers) < PULL_PEERS:
            for peer in self._notices.peers() - answered_peers:
                answer = await self._mesh.ask(
                    peer, CrashNoticesRequest(), NOTICE_TIMEOUT
                )
                if isinstance(answer, CrashNotices):
                    answered_peers.add(peer)
                    self._merge(peer, answer.notices)
            await self._clock.sleep(PULL_INTERVAL)
        await asyncio.Event().wait()

    def _notify_peers(self, report: CrashReport) -> None:
        self._notices.send(_notice_of(report))

    async def _receive_notice(self, peer: str, notice: CrashNotice) -> Message:
        self._merge(peer, (notice,))
        return CrashNotices()

    def _merge(self, peer: str, notices: Iterable[CrashNotice]) -> None:
        reports = tuple(map(_report_of, notices))
        unknown = {
            report.crash: report.age
            for report in reports
            if not report.pending
            and not self._quarantine.is_crash_known(report.crash)
        }
        self._quarantine.merge(reports)
        for crash, age in unknown.items():
            log_message(
                'crash.learned',
                peer=peer,
                upstream=crash.upstream,
                boot=crash.boot,
                age_ms=age // MILLISECOND,
                suspect_parts=sorted(self._quarantine.parts.suspects),
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
        tuple(
            (sighting.part, sighting.sent_age // MILLISECOND)
            for sighting in report.parts
        ),
    )


def _report_of(notice: CrashNotice) -> CrashReport:
    return CrashReport(
        Crash(notice.upstream, notice.boot),
        notice.fingerprints,
        notice.age * MILLISECOND,
        notice.pending,
        tuple(
            PartSighting(part, sent_age * MILLISECOND)
            for part, sent_age in notice.parts
        ),
    )
