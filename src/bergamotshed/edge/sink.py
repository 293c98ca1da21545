"""
bergamotshed.edge.sink
~~~~~~~~~~~~~~~~~~~~~~

Sends an answer to a caller piece by piece.
"""

__all__ = ('CallerSink',)

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..forwarding.types import AnswerSink, CallerHeaders


class CallerSink(AnswerSink):
    """The answer to one request of a caller.

    :param should_close: whether the connection is closed after the answer
    :ivar response: the response; ``None`` until the head is sent
    """

    def __init__(self, request: BaseRequest, *, should_close: bool) -> None:
        self.response: web.StreamResponse | None = None
        self._request = request
        self._should_close = should_close

    async def start(self, status: int, headers: CallerHeaders) -> None:
        """Send the head."""
        response = web.StreamResponse(status=status)
        response.headers.extend(headers)
        if self._should_close:
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    async def write(self, piece: bytes) -> None:
        """Send a piece."""
        if self.response is not None:
            await self.response.write(piece)

    async def finish(self) -> None:
        """Send the end of the body."""
        if self.response is not None:
            await self.response.write_eof()

    def abort(self) -> None:
        """Drop the connection without the end of the body."""
        if self._request.transport is not None:
            self._request.transport.abort()
