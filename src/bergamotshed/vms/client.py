"""
bergamotshed.vms.client
~~~~~~~~~~~~~~~~~~~~~~~

Reads the platform's VM list over HTTP, with conditional requests.
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

from ..decoding import DECODE_ERRORS
from ..http_bodies import read_body
from ..http_traffic import CountTraffic, count_exchange, ignore_traffic
from .types import Vm, VmList, VmListError, VmRole, VmState

_CALL_ERRORS = (ClientError, OSError, *DECODE_ERRORS)

PEER = 'vms'
TIMEOUT = ClientTimeout(total=3, sock_connect=1)


class VmBody(msgspec.Struct):
    """JSON form of one VM."""

    name: str
    role: VmRole
    address: str
    domain: str
    state: VmState
    service: str = ''
    region: str = ''


class ListBody(msgspec.Struct):
    """JSON body of the list; its entries are decoded one by one."""

    vms: list[msgspec.Raw]


class HttpVmList(VmList):
    """Reads the list with conditional requests.

    :param url: URL of the list
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
        self._etag = ''
        self._vms: tuple[Vm, ...] = ()
        self._invalid_count = 0

    @property
    def invalid_count(self) -> int:
        """Return the number of entries of the latest list that were skipped."""
        return self._invalid_count

    async def fetch(self) -> tuple[Vm, ...]:
        """Return the list; the same tuple object while unchanged.

        An invalid entry is skipped and counted, so that the valid entries
        remain usable.

        :raises VmListError: the list can't be read now
        """
        try:
            await self._refresh()
        except _CALL_ERRORS as error:
            raise VmListError(f'read failed: {error!r}') from error
        return self._vms

    async def _refresh(self) -> None:
        headers = {hdrs.IF_NONE_MATCH: self._etag} if self._etag else {}
        async with self._session.get(
            self._url, headers=headers, timeout=TIMEOUT, allow_redirects=False
        ) as response:
            content = await read_body(response)
            count_exchange(self._traffic, PEER, response, 0, len(content))
            if response.status == HTTPStatus.NOT_MODIFIED:
                return
            if response.status != HTTPStatus.OK:
                raise VmListError(f'refused with status {response.status}')
            self._update(response, content)

    def _update(self, response: ClientResponse, content: bytes) -> None:
        entries = msgspec.json.decode(content, type=ListBody).vms
        vms = tuple(vm for vm in map(_decode_vm, entries) if vm is not None)
        self._invalid_count = len(entries) - len(vms)
        self._etag = response.headers.get(hdrs.ETAG, '')
        if vms != self._vms:
            self._vms = vms


def _decode_vm(entry: msgspec.Raw) -> Vm | None:
    try:
        body = msgspec.json.decode(entry, type=VmBody)
    except DECODE_ERRORS:
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
