"""
bergamotshed.routers.partanswers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other routers which parts of requests were answered after a crash, so
that a part is judged by the answers of all routers.
"""

__all__ = ('PartAnswers',)

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..routing.part_quarantine import PartQuarantine
from .confirmednotices import ConfirmedNotices
from .mesh import PeerMesh
from .messages import CrashNotices, Message
from .partmessages import PartsAnswered

MILLISECOND = timedelta(milliseconds=1)

#: Longest wait per peer before parts are announced. In a large fleet most
#: routers hear of the same answer from another one meanwhile, and say nothing.
DELAY_PER_PEER = timedelta(milliseconds=2)


@dataclass(frozen=True, slots=True)
class _Answered:
    """A part that is to be announced; both times in monotonic seconds.

    :ivar crash_at: when the last crash that it was cleared of was noticed
    """

    crash_at: float
    answered_at: float


class PartAnswers:
    """Announces answered parts and records those of the peers."""

    def __init__(
        self,
        mesh: PeerMesh,
        notices: ConfirmedNotices,
        parts: PartQuarantine,
        clock: Clock,
    ) -> None:
        self._notices = notices
        self._parts = parts
        self._clock = clock
        self._unannounced: dict[int, _Answered] = {}
        self._announcement: asyncio.Task[None] | None = None
        mesh.on_question(PartsAnswered, self._receive)
        parts.add_listener(self._schedule)

    def _schedule(
        self, cleared: Mapping[int, float], answered_at: float
    ) -> None:
        """Announce parts after a random delay."""
        for part, crash_at in cleared.items():
            self._unannounced[part] = _Answered(crash_at, answered_at)
        if self._announcement is None:
            self._announcement = asyncio.create_task(self._announce())

    async def _announce(self) -> None:
        max_delay = DELAY_PER_PEER * len(self._notices.peers())
        await self._clock.sleep(random.random() * max_delay)
        self._announcement = None
        if not self._unannounced:
            return
        now = self._clock.monotonic()
        notice = PartsAnswered(
            tuple(
                (
                    part,
                    timedelta(seconds=now - answered.answered_at)
                    // MILLISECOND,
                )
                for part, answered in self._unannounced.items()
            )
        )
        self._unannounced.clear()
        self._notices.send(notice)

    async def _receive(self, peer: str, notice: PartsAnswered) -> Message:
        now = self._clock.monotonic()
        for part, age in notice.parts:
            answered_at = now - (age * MILLISECOND).total_seconds()
            self._parts.clear((part,), answered_at)
            own = self._unannounced.get(part)
            if own is not None and own.crash_at <= answered_at:
                self._unannounced.pop(part)
        return CrashNotices()
