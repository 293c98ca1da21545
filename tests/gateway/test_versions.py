"""Streams that go on while upstreams of several software versions serve."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from tests.standins.rawupstream import (
    RawRequest,
    reset_connection,
    sealed_answer,
)
from tests.waiting import until

from .members import Member, start_member
from .support import (
    CONFIGURATION,
    UPSTREAMS,
    GatewayEnvironment,
    RawResponse,
    Script,
    configuration,
    running_gateway,
    send_request,
    upstream_entry,
)
from .test_streams import EVENTS, events

EVENT_COUNT = 7
CUT_AFTER = 2
#: Enough that each upstream is chosen at random at least once.
REQUEST_COUNT = 40
#: What can't go on is refused at once.
AT_ONCE_S = 0.5
PATH = '/resumed/a'


@dataclass(slots=True)
class Upstreams:
    """Scripted upstreams with versions.

    :ivar env: their store, and a gateway that is not used
    :ivar versions: the version of each
    :ivar cutting: the places of those that break streams off
    """

    env: GatewayEnvironment
    processes: AsyncExitStack
    versions: list[str]
    cutting: set[int]
    members: list[Member] = field(default_factory=list)

    async def start_router(self, name: str) -> Member:
        member = await start_member(self.processes, self.env, name)
        await self.wait_until_listed(member)
        if self.members:
            await until(member.gateway.fleet.heartbeats.has_ready_peer)
        self.members.append(member)
        return member

    def list_upstream(self, place: int, **fields: Any) -> None:
        """Write the entry of an upstream to the store."""
        address = self.env.upstreams[place].address
        entry = {
            **upstream_entry(address),
            'sequence': 2,
            'version': self.versions[place],
            **fields,
        }
        self.env.store.put(UPSTREAMS, f'i-{place}', entry)

    async def wait_until_listed(self, member: Member) -> None:
        """Wait until a router knows the version of each upstream."""
        instances = member.gateway.fleet.registry.instances
        await until(
            lambda: (
                [
                    getattr(instances.get(f'i-{place}'), 'version', None)
                    for place in range(len(self.versions))
                ]
                == self.versions
            )
        )

    def runs_at(self, version: str) -> list[RawRequest]:
        """Return the requests that upstreams of a version received."""
        return [
            request
            for upstream, own in zip(
                self.env.upstreams, self.versions, strict=True
            )
            if own == version
            for request in upstream.requests
        ]


@asynccontextmanager
async def running_upstreams(
    *versions: str, cutting: tuple[int, ...]
) -> AsyncIterator[Upstreams]:
    """Run an upstream for each version; some break streams off."""
    cutting_places = set(cutting)

    def script_of(place: int) -> Script:
        async def script(
            request: RawRequest, writer: asyncio.StreamWriter
        ) -> None:
            after = int(request.headers.get('last-event-id', -1))
            if place not in cutting_places:
                rest = events(after + 1, EVENT_COUNT)
                writer.write(sealed_answer(request, rest, extra=EVENTS))
                return
            head = sealed_answer(request, b'', sized=False, extra=EVENTS)
            writer.write(head + events(after + 1, after + 1 + CUT_AFTER))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)

        return script

    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(
            running_gateway(
                *map(script_of, range(len(versions))), versions=versions
            )
        )
        processes = await stack.enter_async_context(AsyncExitStack())
        upstreams = Upstreams(env, processes, list(versions), cutting_places)
        for place in range(len(versions)):
            upstreams.list_upstream(place)
        yield upstreams


async def begin(upstreams: Upstreams, member: Member) -> RawResponse:
    """Send the request whose stream breaks off after its first events.

    Upstreams of other versions are not listed meanwhile.
    """
    places = range(len(upstreams.versions))
    others = [place for place in places if place not in upstreams.cutting]
    for place in others:
        upstreams.list_upstream(place, state='draining', sequence=3)
    registry = member.gateway.fleet.registry
    cutting_count = len(upstreams.cutting)
    await until(lambda: len(registry.members('s')) == cutting_count)
    response = await send_request(member.port, PATH, attempt='first')
    assert response.cut
    for place in others:
        upstreams.list_upstream(place, sequence=4)
    for each in upstreams.members:
        listed = each.gateway.fleet.registry
        await until(
            lambda registry=listed: (  # type: ignore[misc]
                len(registry.members('s')) == len(upstreams.versions)
            )
        )
    return response


async def resume(
    member: Member, response: RawResponse, begun_as: str | None = 'first'
) -> RawResponse:
    """Take up a stream as its caller does, at a router.

    :param begun_as: the attempt that the caller names; ``None`` for none
    """
    headers = {'Last-Event-Id': str(response.body.count(b'id:') - 1)}
    if begun_as is not None:
        headers['Resumes'] = begun_as
    async with asyncio.timeout(AT_ONCE_S):
        return await send_request(
            member.port, PATH, attempt='second', headers=headers
        )


async def test_a_router_resumes_no_stream_at_another_version() -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        router = await upstreams.start_router('gw-a')
        for number in range(REQUEST_COUNT):
            before = len(upstreams.runs_at('v1'))
            response = await send_request(
                router.port, PATH, attempt=f'a{number}'
            )
            if len(upstreams.runs_at('v1')) > before:
                assert response.cut
                assert response.body == events(0, CUT_AFTER)
            else:
                assert response.body == events(0, EVENT_COUNT)
        assert upstreams.runs_at('v1')
        assert not [
            run
            for run in upstreams.runs_at('v2')
            if 'last-event-id' in run.headers
        ]


async def test_a_router_resumes_a_stream_at_its_own_version() -> None:
    async with running_upstreams(
        'v1', 'v2', 'v2', 'v1', cutting=(0,)
    ) as upstreams:
        router = await upstreams.start_router('gw-a')
        for number in range(REQUEST_COUNT):
            response = await send_request(
                router.port, PATH, attempt=f'a{number}'
            )
            assert not response.cut
            assert response.body == events(0, EVENT_COUNT)
        resumed = [
            place
            for place, upstream in enumerate(upstreams.env.upstreams)
            for run in upstream.requests
            if 'last-event-id' in run.headers
        ]
        assert set(resumed) == {3}


async def test_a_callers_next_try_keeps_the_version_at_every_router() -> None:
    async with running_upstreams(
        'v1', 'v2', 'v2', 'v2', cutting=(0,)
    ) as upstreams:
        for name in ('gw-a', 'gw-b', 'gw-c'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        upstreams.cutting.clear()
        for member in upstreams.members:
            second = await resume(member, first)
            assert second.body == events(CUT_AFTER + 1, EVENT_COUNT)
        assert not upstreams.runs_at('v2')


async def test_a_callers_next_try_is_refused_without_its_version() -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        upstreams.list_upstream(0, state='draining', sequence=3)
        for member in upstreams.members:
            registry = member.gateway.fleet.registry
            await until(lambda each=registry: len(each.members('s')) == 2)  # type: ignore[misc]
            second = await resume(member, first)
            assert second.status == 503
            assert float(second.headers['retry-after']) > 0
        assert not upstreams.runs_at('v2')


async def test_a_stream_goes_on_when_its_first_router_is_gone() -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        for name in ('gw-a', 'gw-b', 'gw-c'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        upstreams.cutting.clear()
        await upstreams.members[0].gateway.fleet.heartbeats.mesh.close()
        second = await resume(upstreams.members[1], first)
        assert second.body == events(CUT_AFTER + 1, EVENT_COUNT)
        assert not upstreams.runs_at('v2')


async def test_a_router_that_has_just_started_keeps_the_version() -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        upstreams.cutting.clear()
        fresh = await upstreams.start_router('gw-fresh')
        second = await resume(fresh, first)
        assert second.body == events(CUT_AFTER + 1, EVENT_COUNT)
        assert not upstreams.runs_at('v2')


def cut_off_from_peers(member: Member, patch: pytest.MonkeyPatch) -> None:
    """Lose all messages that a router sends to its peers."""
    pool = member.gateway.fleet.heartbeats.mesh.pool
    patch.setattr(pool, 'get', lambda _name: None)


async def test_a_router_cut_off_before_the_stream_began_refuses_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        for member in upstreams.members:
            cut_off_from_peers(member, monkeypatch)
        first = await begin(upstreams, upstreams.members[0])
        upstreams.cutting.clear()
        second = await resume(upstreams.members[1], first)
        assert second.status == 503
        assert not upstreams.runs_at('v2')


async def test_a_router_cut_off_after_the_stream_began_keeps_the_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        upstreams.cutting.clear()
        for member in upstreams.members:
            cut_off_from_peers(member, monkeypatch)
        second = await resume(upstreams.members[1], first)
        assert second.body == events(CUT_AFTER + 1, EVENT_COUNT)
        assert not upstreams.runs_at('v2')


async def test_an_address_that_returns_with_another_version_is_no_match() -> (
    None
):
    async with running_upstreams('v1', 'v2', cutting=(0,)) as upstreams:
        router = await upstreams.start_router('gw-a')
        first = await begin(upstreams, router)
        upstreams.cutting.clear()
        upstreams.versions[0] = 'v2'
        upstreams.list_upstream(0, born=2, sequence=1)
        await upstreams.wait_until_listed(router)
        before = len(upstreams.env.runs)
        second = await resume(router, first)
        assert second.status == 503
        assert len(upstreams.env.runs) == before


async def test_a_stream_of_an_attempt_nobody_knows_is_not_taken_up() -> None:
    async with running_upstreams('v1', 'v2', cutting=(0,)) as upstreams:
        router = await upstreams.start_router('gw-a')
        first = await begin(upstreams, router)
        before = len(upstreams.env.runs)
        second = await resume(router, first, 'unknown')
        assert second.status == 503
        assert len(upstreams.env.runs) == before


async def test_a_split_route_resumes_a_stream_at_its_own_service() -> None:
    async with running_upstreams('v1', 'v1', cutting=(0,)) as upstreams:
        router = await upstreams.start_router('gw-a')
        first = await begin(upstreams, router)
        upstreams.cutting.clear()
        upstreams.list_upstream(1, service='t', sequence=5)
        upstreams.env.version += 1
        split = configuration(upstreams.env, 3000)
        for route in split['routes']:
            route['traffic_split'] = [
                {'service': 's', 'weight': 1},
                {'service': 't', 'weight': 99},
            ]
        upstreams.env.store.put(CONFIGURATION, 'config', split)
        routing = router.gateway.fleet.routing
        await until(lambda: routing.version == upstreams.env.version)
        await until(lambda: router.gateway.fleet.registry.members('t'))
        before = len(upstreams.env.upstreams[1].requests)
        second = await resume(router, first)
        assert second.body == events(CUT_AFTER + 1, EVENT_COUNT)
        assert len(upstreams.env.upstreams[1].requests) == before


async def restart_all(
    upstreams: Upstreams, removed: int | None, *, is_removed_before: bool
) -> Member:
    """Kill all routers and start one, with an upstream gone in between."""
    if removed is not None and is_removed_before:
        upstreams.env.store.put(UPSTREAMS, f'i-{removed}', b'')
        # The time in which a change is written.
        await asyncio.sleep(2)
    upstreams.members.clear()
    await upstreams.processes.aclose()
    if removed is not None and not is_removed_before:
        upstreams.env.store.put(UPSTREAMS, f'i-{removed}', b'')
    router = await start_member(
        upstreams.processes, upstreams.env, 'gw-new', first_start=False
    )
    count = len(upstreams.versions) - (removed is not None)
    registry = router.gateway.fleet.registry
    await until(lambda: len(registry.members('s')) == count)
    await until(lambda: registry.versions.known_since < 0)
    return router


@pytest.mark.parametrize('begun_as', ['first', None])
@pytest.mark.parametrize('is_removed_before', [False, True])
async def test_streams_of_a_version_that_left_around_a_kill_are_not_joined(
    begun_as: str | None, is_removed_before: bool
) -> None:
    async with running_upstreams('v1', 'v2', 'v2', cutting=(0,)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        router = await restart_all(
            upstreams, 0, is_removed_before=is_removed_before
        )
        second = await resume(router, first, begun_as)
        assert second.status == 503
        assert not [
            run
            for run in upstreams.runs_at('v2')
            if 'last-event-id' in run.headers
        ]


@pytest.mark.parametrize('begun_as', ['first', None])
async def test_streams_of_the_only_version_go_on_after_a_kill(
    begun_as: str | None,
) -> None:
    async with running_upstreams('v1', 'v1', cutting=(0, 1)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        first = await begin(upstreams, upstreams.members[0])
        assert first.cut
        upstreams.cutting.clear()
        router = await restart_all(upstreams, None, is_removed_before=False)
        second = await resume(router, first, begun_as)
        begun = first.body.count(b'id:')
        assert second.body == events(begun, EVENT_COUNT)


@pytest.mark.parametrize('begun_as', ['first', None])
async def test_a_router_cut_off_while_a_version_joined_resumes_no_stream(
    begun_as: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with running_upstreams('v1', 'v1', 'v1', cutting=(2,)) as upstreams:
        for name in ('gw-a', 'gw-b'):
            await upstreams.start_router(name)
        in_step, out_of_step = upstreams.members
        await out_of_step.gateway.forwarding.confirm_upstreams()
        out_of_step.way_to_store.cut()
        cut_off_from_peers(out_of_step, monkeypatch)
        upstreams.versions[2] = 'v2'
        upstreams.list_upstream(2, born=2, sequence=1)
        for place in (0, 1):
            upstreams.list_upstream(place, state='draining', sequence=3)
        registry = in_step.gateway.fleet.registry
        await until(lambda: len(registry.members('s')) == 1)
        response = await send_request(in_step.port, PATH, attempt='first')
        assert response.cut
        second = await resume(out_of_step, response, begun_as)
        assert second.status == 503
        assert float(second.headers['retry-after']) > 0
        assert not upstreams.runs_at('v1')
