"""
bergamotshed.routers.confirmednotices
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Notices that are sent to all peers, and again to those that don't confirm them.
"""

__all__ = ('NOTICE_TIMEOUT', 'ConfirmedNotices')

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..routing.view import RouterView
from .errors import NoAnswer
from .mesh import PeerMesh
from .messages import AnswerFailed, Message

#: How long to wait for a peer's confirmation, and the time between two attempts
#: to send a notice.
NOTICE_TIMEOUT = timedelta(milliseconds=500)

#: How often a notice is sent to a peer that doesn't confirm it.
MAX_NOTICE_ATTEMPTS = 5


class ConfirmedNotices:
    """Sends notices to the other routers in the background.

    :param node: this router's name
    """

    def __init__(
        self, node: str, mesh: PeerMesh, view: RouterView, clock: Clock
    ) -> None:
        self._node = node
        self._mesh = mesh
        self._view = view
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def peers(self) -> set[str]:
        """Return the names of the other routers."""
        return {
            router.name
            for router in self._view.routers()
            if router.name != self._node
        }

    def send(self, notice: Message) -> None:
        """Send a notice to all peers; any answer confirms it."""
        for peer in self.peers():
            task = asyncio.create_task(self._send_to(peer, notice))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_to(self, peer: str, notice: Message) -> None:
        for _ in range(MAX_NOTICE_ATTEMPTS):
            answer = await self._mesh.ask(peer, notice, NOTICE_TIMEOUT)
            if not isinstance(answer, NoAnswer | AnswerFailed):
                return
            await self._clock.sleep(NOTICE_TIMEOUT)
