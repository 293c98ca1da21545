"""Crowds at each port of both programs that takes bytes.

A process must live, stay within the memory and the descriptors of its machine,
and answer an ordinary request while the crowd keeps its connections. Times and
the share of requests that are served are not looked at.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path

import pytest

from .crowd import Crowd
from .forms import IDLE, PEER_FORMS, REQUEST_FORMS, Form
from .programs import (
    DESCRIPTORS,
    PAGES,
    Program,
    running_gateway_program,
    running_router,
)

pytestmark = pytest.mark.processes

#: Clients that send, and clients that take up connections.
SENDERS = 64
CONNECTIONS = 400
#: Descriptors that clients must leave for files, peers and upstreams.
SPARE_DESCRIPTORS = 32

PROGRAMS: dict[str, Callable[[Path], AbstractAsyncContextManager[Program]]] = {
    'gateway': running_gateway_program,
    'router': running_router,
}
ADDRESSES = {
    'gateway': (
        'callers',
        'health',
        'directory',
        'operators',
        'relay',
        'peers',
    ),
    'router': ('callers', 'operators', 'peers'),
}
EVERY_ADDRESS = [
    (name, address) for name, names in ADDRESSES.items() for address in names
]
MIXED_ADDRESSES = [
    (name, address)
    for name, address in EVERY_ADDRESS
    if address not in {'callers', 'peers'}
]


@pytest.fixture
async def program(
    request: pytest.FixtureRequest, tmp_path: Path
) -> AsyncIterator[Program]:
    async with PROGRAMS[request.param](tmp_path) as running:
        yield running


async def check_crowd(
    program: Program, address: str, forms: list[Form], size: int
) -> None:
    crowd = Crowd(program.addresses[address], forms, program.target, size)
    async with crowd.gathered():
        assert program.is_alive
        assert program.descriptors <= DESCRIPTORS - SPARE_DESCRIPTORS
        await program.wait_answer()
        if address in PAGES:
            await program.wait_page(address)
    assert program.is_alive
    assert program.peak_mb <= program.memory_mb


@pytest.mark.parametrize('name', REQUEST_FORMS)
@pytest.mark.parametrize('program', PROGRAMS, indirect=True)
async def test_callers_that_break_the_limits_end_no_process(
    program: Program, name: str
) -> None:
    await check_crowd(program, 'callers', [REQUEST_FORMS[name]], SENDERS)


@pytest.mark.parametrize(
    ('program', 'address'), MIXED_ADDRESSES, indirect=['program']
)
async def test_requests_of_all_forms_end_no_process(
    program: Program, address: str
) -> None:
    forms = list(REQUEST_FORMS.values())
    await check_crowd(program, address, forms, SENDERS)


@pytest.mark.parametrize('name', PEER_FORMS)
@pytest.mark.parametrize('program', PROGRAMS, indirect=True)
async def test_bytes_at_the_address_of_peers_end_no_process(
    program: Program, name: str
) -> None:
    await check_crowd(program, 'peers', [PEER_FORMS[name]], SENDERS)


@pytest.mark.parametrize(
    ('program', 'address'), EVERY_ADDRESS, indirect=['program']
)
async def test_connections_without_a_request_leave_descriptors(
    program: Program, address: str
) -> None:
    await check_crowd(program, address, [IDLE], CONNECTIONS)


@pytest.mark.parametrize('program', PROGRAMS, indirect=True)
async def test_callers_of_all_forms_at_once_end_no_process(
    program: Program,
) -> None:
    forms = [*REQUEST_FORMS.values(), IDLE]
    await check_crowd(program, 'callers', forms, CONNECTIONS)
