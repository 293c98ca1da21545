"""
bergamotshed.routers.partanswers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells the other routers which parts of requests were answered after a crash, so
that a part is judged by the answers of all routers.
"""

__all__ = ('PartAnswers',)

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..routing.part_quarantine import PartQuarantine
from .confirmednotices import ConfirmedNotices
from .mesh import PeerMesh
from .messages import CrashNotices, Message
from .partmessages import PartsAnswered
from .spreadnotices import SpreadNotices

MILLISECOND = timedelta(milliseconds=1)


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
        self._parts = parts
        self._clock = clock
        self._news: SpreadNotices[int, _Answered] = SpreadNotices(
            notices, clock, self._notice_of
        )
        mesh.on_question(PartsAnswered, self._receive)
        parts.add_listener(self._announce)

    def _announce(
        self, cleared: Mapping[int, float], answered_at: float
    ) -> None:
        for part, crash_at in cleared.items():
            self._news.schedule(part, _Answered(crash_at, answered_at))

    def _notice_of(self, answered: Mapping[int, _Answered]) -> PartsAnswered:
        now = self._clock.monotonic()
        return PartsAnswered(
            tuple(
                (part, timedelta(seconds=now - each.answered_at) // MILLISECOND)
                for part, each in answered.items()
            )
        )

    async def _receive(self, peer: str, notice: PartsAnswered) -> Message:
        now = self._clock.monotonic()
        for part, age in notice.parts:
            answered_at = now - (age * MILLISECOND).total_seconds()
            self._parts.clear((part,), answered_at)
            own = self._news.waiting(part)
            if own is not None and own.crash_at <= answered_at:
                self._news.cancel(part)
        return CrashNotices()
