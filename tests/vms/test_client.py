from typing import Any

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from bergamotshed.vms.client import HttpVmList
from bergamotshed.vms.types import VmListError, VmState

from ..standins.vms import VmsStandIn
from ..waiting import until

ENGINE = {
    'name': 'e1',
    'role': 'engine',
    'service': 'drafting',
    'address': '127.0.0.1:1',
    'domain': 'a',
    'region': 'r',
    'state': 'live',
}
LEAVING = {**ENGINE, 'state': 'leaving'}


@pytest.fixture
async def vm_list() -> Any:
    stand_in = VmsStandIn()
    async with (
        TestServer(stand_in.create_app()) as server,
        ClientSession(server.make_url('/')) as session,
    ):
        yield stand_in, session, HttpVmList('/v1/vms', session)


async def publish_list(session: ClientSession, *vms: dict[str, Any]) -> None:
    await session.put('/v1/vms', json={'vms': vms})


async def test_an_unchanged_list_is_the_same_object(vm_list: Any) -> None:
    _, session, vms = vm_list
    await publish_list(session, ENGINE)
    first = await vms.fetch()
    assert await vms.fetch() is first
    await publish_list(session, ENGINE)
    assert await vms.fetch() is first
    await publish_list(session, LEAVING)
    assert [vm.state for vm in await vms.fetch()] == [VmState.LEAVING]


async def test_changes_are_visible_after_the_lag() -> None:
    async with (
        TestServer(VmsStandIn(lag_s=0.05).create_app()) as server,
        ClientSession(server.make_url('/')) as session,
    ):
        vms = HttpVmList('/v1/vms', session)
        await publish_list(session, ENGINE)
        assert await vms.fetch() == ()
        await until(vms.fetch)


@pytest.mark.parametrize('fault', ['refuse', 'lost', 'cut'])
async def test_faults(vm_list: Any, fault: str) -> None:
    stand_in, session, vms = vm_list
    await publish_list(session, ENGINE)
    list_before = await vms.fetch()
    await publish_list(session, LEAVING)
    stand_in.faults.set(fault)
    with pytest.raises(VmListError):
        await vms.fetch()
    stand_in.faults.clear()
    assert await vms.fetch() != list_before


@pytest.mark.parametrize(
    'entry', [{**ENGINE, 'role': 'toaster'}, {'name': 'e2'}, 7]
)
async def test_invalid_entries_are_skipped(vm_list: Any, entry: Any) -> None:
    _, session, vms = vm_list
    await publish_list(session, entry, ENGINE)
    assert [vm.name for vm in await vms.fetch()] == ['e1']
    assert vms.invalid_count == 1


@pytest.mark.parametrize(
    ('status', 'text'), [(200, '{'), (200, '{}'), (302, ''), (500, '')]
)
async def test_unexpected_answers(status: int, text: str) -> None:
    async def answer(_: web.Request) -> web.Response:
        return web.Response(status=status, text=text)

    app = web.Application()
    app.add_routes([web.get('/v1/vms', answer)])
    async with (
        TestServer(app) as server,
        ClientSession(server.make_url('/')) as session,
    ):
        with pytest.raises(VmListError):
            await HttpVmList('/v1/vms', session).fetch()
