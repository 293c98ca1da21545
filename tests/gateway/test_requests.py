"""Routed requests over real sockets, with upstreams that fail in every way."""

import asyncio
import time
from itertools import count

import pytest

from tests.standins.rawupstream import RawRequest, answer
from tests.waiting import until

from .scripts import (
    encoded,
    fails,
    fine,
    full,
    misdirected,
    resets,
    silent,
    unsealed,
    wrong_attempt,
)
from .support import HOST, KEY, Script, running_gateway, send_request


async def test_a_request_passes_unchanged_and_its_answer_too() -> None:
    async with running_gateway(fine) as made:
        spoken = await send_request(
            made.port,
            '/once/a?b=%41',
            method='POST',
            body=b'\x00body',
            headers={'Bergamotshed-Tenant': 'forged', 'X-Other': 'kept'},
        )
        assert (spoken.status, spoken.body) == (200, b'fine')
        assert spoken.headers['bergamotshed-response-seal'] == 'seal'
        assert spoken.headers['bergamotshed-attempt-id'] == 'a1'
        (run,) = made.runs
        assert run.line == 'POST /once/a?b=%41 HTTP/1.1'
        assert run.body == b'\x00body'
        assert run.headers['bergamotshed-tenant'] == 'org'
        assert run.headers['bergamotshed-expect-instance'] == 'i-0'
        assert 0 < int(run.headers['bergamotshed-deadline-ms']) <= 3000
        assert run.headers['x-other'] == 'kept'
        assert 'authorization' not in run.headers


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/once/a', 'unknown', 401),
        ('/once/a', '', 401),
        ('/nowhere/a', KEY, 404),
        ('/open/a', '', 200),
    ],
)
async def test_routes_and_keys(path: str, key: str, status: int) -> None:
    async with running_gateway(fine) as made:
        headers = {'Authorization': f'Bearer {key}'}
        assert (
            await send_request(made.port, path, headers=headers)
        ).status == status
        assert bool(made.runs) is (status == 200)


@pytest.mark.parametrize(
    ('path', 'scripts', 'status', 'runs'),
    [
        pytest.param('/once/a', [resets], 502, 1, id='once, reset'),
        pytest.param('/once/a', [unsealed], 502, 1, id='once, unsigned'),
        pytest.param('/once/a', [encoded], 502, 1, id='once, encoded'),
        pytest.param('/once/a', [wrong_attempt], 502, 1, id='once, foreign'),
        pytest.param('/once/a', [full, full], 503, 1, id='once, full'),
        pytest.param('/once/a', [fails, fails], 500, 1, id='once, failed'),
        pytest.param('/twice/a', [fails, fails], 500, 2, id='twice, failed'),
        pytest.param('/twice/a', [resets, resets], 502, 2, id='twice, reset'),
        pytest.param('/twice/a', [full, full], 503, 2, id='twice, full'),
        pytest.param('/stream/a', [resets], 502, 1, id='stream, reset'),
    ],
)
async def test_failures_say_what_is_true(
    path: str, scripts: list[Script], status: int, runs: int
) -> None:
    async with running_gateway(*scripts) as made:
        spoken = await send_request(made.port, path)
        assert spoken.status == status
        assert len(made.runs) == runs
        assert ('retry-after' in spoken.headers) is (status == 503)
        if status != 500:
            assert 'bergamotshed-response-seal' not in spoken.headers


@pytest.mark.parametrize(
    'bad', [fails, resets, full, wrong_attempt, misdirected]
)
async def test_what_may_run_twice_is_tried_at_another_upstream(
    bad: Script,
) -> None:
    async with running_gateway(bad, fine) as made:
        for number in range(6):
            spoken = await send_request(
                made.port, '/twice/a', attempt=f'a{number}'
            )
            assert (spoken.status, spoken.body) == (200, b'fine')


async def test_a_sole_upstream_is_tried_again_after_its_own_failure() -> None:
    # Found on a deployment with one upstream: 502 instead of its answer.
    turns = count()

    async def every_other(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await (fine if next(turns) % 2 else fails)(request, writer)

    async with running_gateway(every_other) as made:
        for number in range(3):
            spoken = await send_request(
                made.port, '/twice/a', attempt=f'a{number}'
            )
            assert (spoken.status, spoken.body) == (200, b'fine')


async def test_a_failure_passes_when_no_upstream_is_left() -> None:
    async with running_gateway(fails) as made:
        spoken = await send_request(made.port, '/twice/a')
        assert (spoken.status, spoken.body) == (500, b'no')
        assert spoken.headers['bergamotshed-response-seal'] == 'seal'


async def test_another_upstream_at_the_address_ran_nothing() -> None:
    async with running_gateway(misdirected, fine) as made:
        for number in range(40):
            spoken = await send_request(
                made.port, '/once/a', attempt=f'a{number}'
            )
            assert spoken.status == 200
        # Of two with equal load either is chosen, so the first was met soon.
        assert len(made.upstreams[0].requests) == 1
        members = made.gateway.fleet.registry.members('s')
        assert [member.name for member in members] == ['i-1']


async def test_a_refusal_after_a_possible_run_promises_nothing() -> None:
    async with running_gateway(resets, full) as made:
        seen = set()
        for number in range(25):
            made.gateway.forwarding.loads.keep([])
            spoken = await send_request(
                made.port, '/twice/a', attempt=f'a{number}'
            )
            first = [r for r in made.runs if r.attempt == f'a{number}']
            ran = any(run in made.upstreams[0].requests for run in first)
            assert spoken.status == (502 if ran else 503)
            seen.add(spoken.status)
        assert 502 in seen


async def test_late_bytes_reach_no_other_request() -> None:
    async def twice(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, request.attempt.encode()))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(answer(request, b'late'))

    async with running_gateway(twice) as made:
        for number in range(20):
            spoken = await send_request(
                made.port, '/once/a', attempt=f'a{number}'
            )
            assert spoken.status in {200, 502}
            if spoken.status == 200:
                assert spoken.body == f'a{number}'.encode()


async def test_an_early_answer_to_a_long_body_spoils_nothing() -> None:
    async with running_gateway(fine) as made:
        for number in range(3):
            spoken = await send_request(
                made.port,
                '/once/a',
                method='POST',
                body=b'x' * 1_000_000,
                attempt=f'a{number}',
            )
            assert spoken.status == 200
        assert {len(run.body) for run in made.runs} == {1_000_000}


async def test_a_head_request_ends_with_its_head() -> None:
    async def head_only(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(answer(request, b'fine')[:-4])

    async with running_gateway(head_only) as made:
        began = time.monotonic()
        reader, writer = await asyncio.open_connection('127.0.0.1', made.port)
        writer.write(
            f'HEAD /open/a HTTP/1.1\r\nHost: {HOST}\r\n'
            'Bergamotshed-Attempt-Id: a\r\n\r\n'.encode()
        )
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        writer.close()
        assert head.startswith(b'HTTP/1.1 200')
        assert time.monotonic() - began < 1


async def test_a_caller_that_asks_first_is_told_to_go_on() -> None:
    async with running_gateway(fine) as made:
        reader, writer = await asyncio.open_connection('127.0.0.1', made.port)
        writer.write(
            f'POST /open/a HTTP/1.1\r\nHost: {HOST}\r\n'
            'Bergamotshed-Attempt-Id: a\r\nContent-Length: 4\r\n'
            'Expect: 100-continue\r\n\r\n'.encode()
        )
        told = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        assert told.startswith(b'HTTP/1.1 100')
        writer.write(b'body')
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        writer.close()
        assert head.startswith(b'HTTP/1.1 200')
        assert made.runs[0].body == b'body'


async def test_a_fault_of_the_router_is_logged_and_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_gateway(fine) as made:
        with monkeypatch.context() as patch:
            patch.setattr(
                made.gateway.forwarding.placer, '_choose', lambda *_: 1 / 0
            )
            assert (await send_request(made.port, '/once/a')).status == 502
        assert (await send_request(made.port, '/once/a')).status == 200


async def test_the_upstream_is_left_when_the_caller_leaves() -> None:
    async with running_gateway(silent) as made:
        reader, writer = await asyncio.open_connection('127.0.0.1', made.port)
        writer.write(
            f'GET /once/a HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Bergamotshed-Attempt-Id: a\r\n'
            f'Authorization: Bearer {KEY}\r\n\r\n'.encode()
        )
        await until(lambda: made.runs)
        left_at = time.monotonic()
        writer.close()
        shared = made.gateway.forwarding
        await until(
            lambda: not shared.pool.open_count(made.upstreams[0].address)
        )
        assert time.monotonic() - left_at < 0.5
        assert not reader.at_eof() or not made.gateway.edge.in_flight


@pytest.mark.parametrize('path', ['/once/a', '/stream/a', '/twice/a'])
async def test_the_routes_timeout_ends_in_an_answer(path: str) -> None:
    async with running_gateway(silent) as made:
        made.configure(timeout_ms=300)
        await made.wait_until_settled()
        began = time.monotonic()
        spoken = await send_request(made.port, path)
        assert spoken.status == 504
        assert 0.25 < time.monotonic() - began < 0.8


SMUGGLED = 'GET /once/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n'


@pytest.mark.parametrize(
    'text',
    [
        'POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n'
        f'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n{SMUGGLED}',
        'POST /once/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n'
        f'Content-Length: 5\r\n\r\n12345{SMUGGLED}',
        'POST /once/a HTTP/1.1\r\nHost: h.example\r\n'
        f'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n{SMUGGLED}',
        'GET /once/a HTTP/1.1\r\nHost : h.example\r\n\r\n',
        'GET /once/a HTTP/1.1\r\nHost: h.example\r\nX: a\n\nGET\r\n\r\n',
        '\x00\x01\x02\r\n\r\n',
        'GET /once/a\r\n\r\n',
        'POST /once/a HTTP/1.1\r\nHost: h.example\r\n'
        'Content-Length: -1\r\n\r\n',
    ],
)
async def test_malformed_requests_get_400_and_reach_nothing(text: str) -> None:
    async with running_gateway(fine) as made:
        reader, writer = await asyncio.open_connection('127.0.0.1', made.port)
        writer.write(text.encode('latin-1'))
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        assert received.startswith(b'HTTP/')
        assert b' 400 ' in received.partition(b'\r\n')[0]
        assert received.count(b'HTTP/') == 1
        assert not made.runs
