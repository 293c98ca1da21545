"""
bergamotshed.vms.client
~~~~~~~~~~~~~~~~~~~~~~~

The platform's VM list over HTTP, read again only when it has changed.
"""

__all__ = ('HttpVmList',)

from http import HTTPStatus

import msgspec
from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    hdrs,
)

from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .types import Vm, VmList, VmListError, VmRole, VmState

PEER = 'vms'
TIMEOUT = ClientTimeout(total=3, sock_connect=1)


class VmBody(msgspec.Struct):
    """One VM on the wire."""

    name: str
    role: VmRole
    address: str
    domain: str
    state: VmState
    service: str = ''
    region: str = ''


class ListBody(msgspec.Struct):
    """The whole list; its entries are checked one by one."""

    vms: list[msgspec.Raw]


class HttpVmList(VmList):
    """Reads the list with a conditional request.

    :param url: the list's address
    :param traffic: counts the bytes of each exchange
    """

    def __init__(
        self,
        url: str,
        session: ClientSession,
        traffic: CountTraffic | None = None,
    ) -> None:
        self._url = url
        self._session = session
        self._traffic = traffic or ignore_traffic
        self._tag = ''
        self._vms: tuple[Vm, ...] = ()
        self._invalid = 0

    @property
    def invalid(self) -> int:
        """Return how many entries of the newest list were left out."""
        return self._invalid

    async def fetch(self) -> tuple[Vm, ...]:
        """Return the list; the same tuple object while unchanged.

        An entry that is not valid is left out and counted, so that it
        doesn't hide the others.

        :raises VmListError: it can't be read now
        """
        try:
            await self._refresh()
        except (ClientError, OSError, msgspec.MsgspecError) as error:
            raise VmListError(f'not read: {error!r}') from error
        return self._vms

    async def _refresh(self) -> None:
        headers = {hdrs.IF_NONE_MATCH: self._tag} if self._tag else {}
        async with self._session.get(
            self._url, headers=headers, timeout=TIMEOUT, allow_redirects=False
        ) as response:
            content = await response.read()
            count_exchange(self._traffic, PEER, response, 0, len(content))
            if response.status == HTTPStatus.NOT_MODIFIED:
                return
            if response.status != HTTPStatus.OK:
                raise VmListError(f'refused with {response.status}')
            self._take(response, content)

    def _take(self, response: ClientResponse, content: bytes) -> None:
        entries = msgspec.json.decode(content, type=ListBody).vms
        vms = tuple(vm for vm in map(_vm, entries) if vm is not None)
        self._invalid = len(entries) - len(vms)
        self._tag = response.headers.get(hdrs.ETAG, '')
        if vms != self._vms:
            self._vms = vms


def _vm(entry: msgspec.Raw) -> Vm | None:
    try:
        body = msgspec.json.decode(entry, type=VmBody)
    except msgspec.MsgspecError:
        return None
    return Vm(
        name=body.name,
        role=body.role,
        service=body.service,
        address=body.address,
        domain=body.domain,
        region=body.region,
        state=body.state,
    )
