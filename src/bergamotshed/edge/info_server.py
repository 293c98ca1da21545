"""
bergamotshed.edge.info_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves information over HTTP: entry addresses to callers, readiness to the
platform.
"""

__all__ = (
    'EntryAddresses',
    'EntryAddressesPage',
    'HealthPage',
    'InfoPage',
    'InfoServer',
)

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..intake.connection import guard
from ..intake.intake import Intake
from ..sockets import listen

JSON_TYPE = 'application/json'
#: How long open connections may take to close at shutdown.
CLOSE_TIMEOUT_S = 0.1


class EntryAddresses(msgspec.Struct):
    """JSON body that lists where callers may connect.

    :ivar addresses: ``ip:port`` of routers
    :ivar lifetime: seconds for which the list may be cached
    """

    addresses: list[str]
    lifetime: float


class InfoPage(ABC):
    """The answer to a GET request; override the method."""

    @abstractmethod
    def answer(self) -> web.Response:
        """Return the response."""


class EntryAddressesPage(InfoPage):
    """Lists the routers that callers may use."""

    def __init__(
        self, addresses: Callable[[], list[str]], lifetime: Callable[[], float]
    ) -> None:
        self._addresses = addresses
        self._lifetime = lifetime

    def answer(self) -> web.Response:
        """Return the current list."""
        listed = EntryAddresses(self._addresses(), self._lifetime())
        return web.Response(
            body=msgspec.json.encode(listed), content_type=JSON_TYPE
        )


class HealthPage(InfoPage):
    """Shows whether the router accepts requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def answer(self) -> web.Response:
        """Return 200 if it does, otherwise 503."""
        if self._is_ready():
            return web.Response()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)


class InfoServer:
    """Answers plain GET requests on one address.

    :param pages: pages by path
    """

    def __init__(
        self, address: str, pages: dict[str, InfoPage], intake: Intake
    ) -> None:
        self._address = address
        self._pages = pages
        self._listener: asyncio.Server | None = None
        self._server = web.Server(self._handle)
        self._connect = guard(self._server, intake, auto_decompress=False)

    async def start(
        self, listening_socket: socket.socket | None = None
    ) -> None:
        """Start to listen.

        :param listening_socket: a socket that already listens; without one, the
            server opens its own on the address
        :raises OSError: the address is in use
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._connect, sock=listening_socket or listen(self._address)
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(CLOSE_TIMEOUT_S)

    async def _handle(self, request: BaseRequest) -> web.Response:
        page = self._pages.get(request.path)
        if page is None or request.method != 'GET':
            return web.Response(status=HTTPStatus.NOT_FOUND)
        return page.answer()
