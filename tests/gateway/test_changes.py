"""Requests while API keys, upstreams, the store or the router change."""

import asyncio
import time

from tests.standins.rawupstream import RawRequest
from tests.waiting import until

from .scripts import fine, resets
from .support import UPSTREAMS, running_gateway, send_request, upstream_entry


async def test_without_upstreams_the_refusal_is_immediate() -> None:
    async with running_gateway() as env:
        started_at = time.monotonic()
        response = await send_request(env.port, '/once/a')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert time.monotonic() - started_at < 0.3


async def test_a_revoked_key_is_refused_at_once() -> None:
    async with running_gateway(fine) as env:
        assert (await send_request(env.port, '/once/a')).status == 200
        env.keys.clear()
        env.keys.append('key-2')
        env.configure()
        await env.wait_until_settled()
        assert (await send_request(env.port, '/once/a')).status == 401


async def test_a_router_cut_off_from_the_store_stops_accepting_keys() -> None:
    async with running_gateway(fine, revoke_ms=1800) as env:
        env.store.is_silent = True
        cut_at = time.monotonic()
        statuses = []
        while time.monotonic() - cut_at < 2.5:
            response = await send_request(env.port, '/once/a')
            statuses.append((time.monotonic() - cut_at, response.status))
            await asyncio.sleep(0.1)
        assert statuses[0][1] == 200
        late_statuses = {status for at, status in statuses if at > 1.8}
        assert late_statuses == {503}
        assert not env.gateway.is_ready()
        env.store.is_silent = False
        await until(env.gateway.is_ready)
        assert (await send_request(env.port, '/once/a')).status == 200


async def test_callers_retry_later_if_no_router_can_serve() -> None:
    # During an outage of the store every router told its callers to retry at
    # once with another router, which could not serve them either.
    async with running_gateway(fine, revoke_ms=1300) as env:
        env.store.is_silent = True
        await until(lambda: not env.gateway.is_ready())
        without_peer = await send_request(env.port, '/once/a')
        env.gateway.forwarding.admission._has_ready_peer = lambda: True
        with_peer = await send_request(env.port, '/once/a')
        assert (without_peer.status, with_peer.status) == (503, 503)
        assert float(without_peer.headers['retry-after']) >= 0.5
        assert float(with_peer.headers['retry-after']) < 0.1


async def test_a_leaving_upstream_is_noticed_after_a_lost_store_answer() -> (
    None
):
    # When the answer to a blocking read of ten seconds was lost in an outage,
    # the router kept sending requests to an upstream that was leaving.
    async with running_gateway(fine, fine) as env:
        await asyncio.sleep(0.1)
        env.store.drop_waiting_answers()
        leaving = {
            **upstream_entry(env.upstreams[0].address),
            'state': 'draining',
        }
        env.store.put(UPSTREAMS, 'i-0', {**leaving, 'sequence': 2})
        members = env.gateway.fleet.registry.members
        await until(lambda: len(members('s')) == 1, 4)


async def test_a_request_that_crashes_upstreams_is_stopped() -> None:
    async with running_gateway(fine, fine, fine, fine, fine) as env:

        async def crashes(
            request: RawRequest, writer: asyncio.StreamWriter
        ) -> None:
            if 'harmful' not in request.line:
                await fine(request, writer)
                return
            upstream = next(
                upstream
                for upstream in env.upstreams
                if request in upstream.requests
            )
            upstream.crash()

        for upstream in env.upstreams:
            upstream.script = crashes
        reached = 0
        for number in range(12):
            await send_request(env.port, '/once/harmful', attempt=f'h{number}')
            reached = sum('harmful' in run.line for run in env.runs)
            await asyncio.sleep(0.1)
        assert reached == 3
        refused = await send_request(env.port, '/once/harmful', attempt='last')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 5
        for number in range(5):
            response = await send_request(
                env.port, '/twice/a', attempt=f'i{number}'
            )
            assert response.status == 200


async def test_lost_answers_quarantine_no_request() -> None:
    async with running_gateway(resets, resets, resets, resets) as env:
        for number in range(8):
            response = await send_request(
                env.port, '/once/a', attempt=f'a{number}'
            )
            assert response.status == 502
        assert len(env.runs) == 8


async def test_a_leaving_upstream_is_noticed_if_a_read_misses_it() -> None:
    # Without other changes, a blocking read was answered only at the end of
    # its wait, although the record had been written at its beginning.
    async with running_gateway(fine, fine) as env:
        env.store.ignores_new_records = True
        await asyncio.sleep(0.1)
        leaving = {
            **upstream_entry(env.upstreams[0].address),
            'state': 'draining',
        }
        env.store.put(UPSTREAMS, 'i-0', {**leaving, 'sequence': 2})
        members = env.gateway.fleet.registry.members
        await until(lambda: len(members('s')) == 1, 2)


async def test_a_stopping_router_closes_connections_after_answers() -> None:
    async with running_gateway(fine, grace_s=0.4) as env:
        env.gateway.shutdown.begin()
        env.gateway.edge.drain()
        response = await send_request(env.port, '/once/a')
        assert response.headers['connection'] == 'close'
        await asyncio.sleep(0.2)
        assert (await send_request(env.port, '/once/a')).status == 503
        assert not env.gateway.is_ready()
