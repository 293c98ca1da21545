"""
bergamotshed.edge.sink
~~~~~~~~~~~~~~~~~~~~~~

Sends an answer to a caller piece by piece.
"""

__all__ = ('CallerSink',)

from aiohttp import HttpVersion11, web
from aiohttp.web_request import BaseRequest

from ..forwarding.types import AnswerSink, CallerHeaders
from ..sockets import set_reset_on_close


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
        self._set_incomplete(is_incomplete=True)
        await response.prepare(self._request)

    async def write(self, piece: bytes) -> None:
        """Send a piece."""
        if self.response is not None:
            await self.response.write(piece)

    async def finish(self) -> None:
        """Send the end of the body."""
        if self.response is not None:
            self._set_incomplete(is_incomplete=False)
            await self.response.write_eof()

    def abort(self) -> None:
        """Drop the connection without the end of the body."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _set_incomplete(self, *, is_incomplete: bool) -> None:
        """Let an incomplete answer without chunks end with a reset.

        To an HTTP/1.0 caller the end of the connection is the end of the
        answer.
        """
        transport = self._request.transport
        if self._request.version >= HttpVersion11 or transport is None:
            return
        caller = transport.get_extra_info('socket')
        if caller is not None:
            set_reset_on_close(caller, is_enabled=is_incomplete)
