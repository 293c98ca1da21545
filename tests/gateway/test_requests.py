"""Routed requests over real sockets, with upstreams that fail in many ways."""

import asyncio
import time
from http import HTTPStatus
from itertools import count

import pytest

from tests.standins.rawupstream import RawRequest, sealed_answer
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


async def test_a_request_and_its_answer_are_passed_on_unchanged() -> None:
    async with running_gateway(fine) as setup:
        response = await send_request(
            setup.port,
            '/once/a?b=%41',
            method='POST',
            body=b'\x00body',
            headers={'Bergamotshed-Tenant': 'forged', 'X-Other': 'kept'},
        )
        assert (response.status, response.body) == (200, b'fine')
        assert response.headers['bergamotshed-response-seal'] == 'seal'
        assert response.headers['bergamotshed-attempt-id'] == 'a1'
        (run,) = setup.runs
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
    async with running_gateway(fine) as setup:
        headers = {'Authorization': f'Bearer {key}'}
        assert (
            await send_request(setup.port, path, headers=headers)
        ).status == status
        assert bool(setup.runs) is (status == 200)


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
async def test_the_status_says_whether_the_request_may_have_run(
    path: str, scripts: list[Script], status: int, runs: int
) -> None:
    async with running_gateway(*scripts) as setup:
        response = await send_request(setup.port, path)
        assert response.status == status
        assert len(setup.runs) == runs
        assert ('retry-after' in response.headers) is (status == 503)
        if status != 500:
            assert 'bergamotshed-response-seal' not in response.headers


@pytest.mark.parametrize(
    'bad', [fails, resets, full, wrong_attempt, misdirected]
)
async def test_an_idempotent_request_is_retried_at_another_upstream(
    bad: Script,
) -> None:
    async with running_gateway(bad, fine) as setup:
        for number in range(6):
            response = await send_request(
                setup.port, '/twice/a', attempt=f'a{number}'
            )
            assert (response.status, response.body) == (200, b'fine')


async def test_a_sole_upstream_is_tried_again_after_its_own_failure() -> None:
    # With a single upstream the caller got 502 instead of the upstream's own
    # answer.
    turns = count()

    async def alternating(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await (fine if next(turns) % 2 else fails)(request, writer)

    async with running_gateway(alternating) as setup:
        for number in range(3):
            response = await send_request(
                setup.port, '/twice/a', attempt=f'a{number}'
            )
            assert (response.status, response.body) == (200, b'fine')


async def test_a_failure_is_passed_on_when_no_upstream_is_left() -> None:
    async with running_gateway(fails) as setup:
        response = await send_request(setup.port, '/twice/a')
        assert (response.status, response.body) == (500, b'no')
        assert response.headers['bergamotshed-response-seal'] == 'seal'


async def test_a_misdirected_request_is_retried_at_another_upstream() -> None:
    async with running_gateway(misdirected, fine) as setup:
        for number in range(40):
            response = await send_request(
                setup.port, '/once/a', attempt=f'a{number}'
            )
            assert response.status == 200
        # With equal load either is chosen, so the first soon gets a request.
        assert len(setup.upstreams[0].requests) == 1
        members = setup.gateway.fleet.registry.members('s')
        assert [member.name for member in members] == ['i-1']


async def test_no_refusal_follows_an_attempt_that_may_have_run() -> None:
    async with running_gateway(resets, full) as setup:
        statuses = set()
        for number in range(25):
            setup.gateway.forwarding.loads.forget_unlisted([])
            response = await send_request(
                setup.port, '/twice/a', attempt=f'a{number}'
            )
            first = [r for r in setup.runs if r.attempt == f'a{number}']
            ran = any(run in setup.upstreams[0].requests for run in first)
            assert response.status == (502 if ran else 503)
            statuses.add(response.status)
        assert 502 in statuses


async def test_surplus_bytes_reach_no_other_request() -> None:
    async def twice(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(sealed_answer(request, request.attempt.encode()))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(sealed_answer(request, b'late'))

    async with running_gateway(twice) as setup:
        for number in range(20):
            response = await send_request(
                setup.port, '/once/a', attempt=f'a{number}'
            )
            assert response.status in {200, 502}
            if response.status == 200:
                assert response.body == f'a{number}'.encode()


async def test_an_early_answer_to_a_long_body_is_handled() -> None:
    async with running_gateway(fine) as setup:
        for number in range(3):
            response = await send_request(
                setup.port,
                '/once/a',
                method='POST',
                body=b'x' * 1_000_000,
                attempt=f'a{number}',
            )
            assert response.status == 200
        assert {len(run.body) for run in setup.runs} == {1_000_000}


async def test_a_head_request_ends_with_its_head() -> None:
    async def head_only(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(sealed_answer(request, b'fine')[:-4])

    async with running_gateway(head_only) as setup:
        began = time.monotonic()
        reader, writer = await asyncio.open_connection('127.0.0.1', setup.port)
        writer.write(
            f'HEAD /open/a HTTP/1.1\r\nHost: {HOST}\r\n'
            'Bergamotshed-Attempt-Id: a\r\n\r\n'.encode()
        )
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        writer.close()
        assert head.startswith(b'HTTP/1.1 200')
        assert time.monotonic() - began < 1


async def test_a_caller_that_expects_100_continue_gets_it() -> None:
    async with running_gateway(fine) as setup:
        reader, writer = await asyncio.open_connection('127.0.0.1', setup.port)
        writer.write(
            f'POST /open/a HTTP/1.1\r\nHost: {HOST}\r\n'
            'Bergamotshed-Attempt-Id: a\r\nContent-Length: 4\r\n'
            'Expect: 100-continue\r\n\r\n'.encode()
        )
        interim_head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        assert interim_head.startswith(b'HTTP/1.1 100')
        writer.write(b'body')
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        writer.close()
        assert head.startswith(b'HTTP/1.1 200')
        assert setup.runs[0].body == b'body'


async def test_an_unexpected_exception_gets_502(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_gateway(fine) as setup:
        with monkeypatch.context() as patch:
            patch.setattr(
                setup.gateway.forwarding.placer, '_choose', lambda *_: 1 / 0
            )
            assert (await send_request(setup.port, '/once/a')).status == 502
        assert (await send_request(setup.port, '/once/a')).status == 200


async def test_the_upstream_connection_closes_when_the_caller_leaves() -> None:
    async with running_gateway(silent) as setup:
        reader, writer = await asyncio.open_connection('127.0.0.1', setup.port)
        writer.write(
            f'GET /once/a HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Bergamotshed-Attempt-Id: a\r\n'
            f'Authorization: Bearer {KEY}\r\n\r\n'.encode()
        )
        await until(lambda: setup.runs)
        left_at = time.monotonic()
        writer.close()
        shared = setup.gateway.forwarding
        await until(
            lambda: not shared.pool.open_count(setup.upstreams[0].address)
        )
        assert time.monotonic() - left_at < 0.5
        assert not reader.at_eof() or not setup.gateway.edge.in_flight


@pytest.mark.parametrize('path', ['/once/a', '/stream/a', '/twice/a'])
async def test_a_request_past_the_routes_timeout_gets_504(path: str) -> None:
    async with running_gateway(silent) as setup:
        setup.configure(timeout_ms=300)
        await setup.wait_until_settled()
        began = time.monotonic()
        response = await send_request(setup.port, path)
        assert response.status == 504
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
    async with running_gateway(fine) as setup:
        reader, writer = await asyncio.open_connection('127.0.0.1', setup.port)
        writer.write(text.encode('latin-1'))
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        assert received.startswith(b'HTTP/')
        assert b' 400 ' in received.partition(b'\r\n')[0]
        assert received.count(b'HTTP/') == 1
        assert not setup.runs


@pytest.mark.parametrize('states_attempt', [False, True])
@pytest.mark.parametrize('status', ['503 Busy', '429 Busy', '421 Misdirected'])
async def test_an_earlier_refusal_is_not_taken_for_that_of_a_later_request(
    status: str, states_attempt: bool
) -> None:
    refusals: dict[asyncio.StreamWriter, bytes] = {}
    ran: list[str] = []

    async def repeats_refusal(
        request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if writer in refusals:
            ran.append(request.attempt)
        else:
            attempt = f'Bergamotshed-Attempt-Id: {request.attempt}\r\n'
            refusals[writer] = (
                f'HTTP/1.1 {status}\r\n{attempt * states_attempt}'
                'Bergamotshed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            ).encode()
        writer.write(refusals[writer])

    async with running_gateway(repeats_refusal, repeats_refusal) as setup:
        for number in range(6):
            attempt = f'a{number}'
            response = await send_request(
                setup.port, '/once/a', attempt=attempt
            )
            assert ran.count(attempt) <= 1
            if attempt in ran:
                assert response.status == HTTPStatus.BAD_GATEWAY
