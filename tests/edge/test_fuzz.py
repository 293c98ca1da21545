"""Request smuggling: a request hidden in the body of a malformed one.

Requests with inserted or changed header bytes are sent over real sockets. The
request in their body must never reach an upstream.
"""

import asyncio
import random

import pytest

from tests.gateway.scripts import fine
from tests.gateway.support import HOST, KEY, GatewayEnvironment, running_gateway

CASES = 300
BATCH_SIZE = 25
BYTE_CHANGE_SHARE = 0.3
INSERTED_LINES = (
    'Content-Length: 3\r\n',
    'Content-Length: 0\r\n',
    'Transfer-Encoding: chunked\r\n',
    'Transfer-Encoding: identity, chunked\r\n',
    'Transfer-Encoding : chunked\r\n',
    ' folded\r\n',
    'Transfer-Encoding:\x0bchunked\r\n',
    'Connection: Content-Length\r\n',
    'Expect: 100-continue\r\n',
    'Upgrade: h2c\r\nConnection: Upgrade\r\n',
    '\r\n',
    '\n',
    '\x00',
)


def hidden_request(seed: int) -> str:
    """Return a request that is sent as the body of another."""
    return (
        f'POST /once/hidden HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Bergamotshed-Attempt-Id: hidden-{seed}\r\n'
        f'Authorization: Bearer {KEY}\r\n\r\n'
    )


def malformed(seed: int) -> tuple[bytes, bool]:
    """Return a malformed request and whether one byte was changed as well."""
    rng = random.Random(seed)
    body = hidden_request(seed)
    lines = [
        f'POST /once/{seed} HTTP/1.1\r\n',
        f'Host: {HOST}\r\n',
        f'Bergamotshed-Attempt-Id: {seed}\r\n',
        f'Authorization: Bearer {KEY}\r\n',
        f'Content-Length: {len(body)}\r\n',
    ]
    for _ in range(rng.randint(1, 3)):
        lines.insert(
            rng.randrange(1, len(lines) + 1), rng.choice(INSERTED_LINES)
        )
    head = bytearray(''.join(lines).encode('latin-1'))
    has_changed_byte = rng.random() < BYTE_CHANGE_SHARE
    if has_changed_byte:
        head[rng.randrange(len(head))] = rng.randrange(256)
    return bytes(head) + b'\r\n' + body.encode(), has_changed_byte


async def send(setup: GatewayEnvironment, payload: bytes) -> None:
    reader, writer = await asyncio.open_connection('127.0.0.1', setup.port)
    writer.write(payload)
    try:
        async with asyncio.timeout(0.3):
            await reader.read()
    except (TimeoutError, ConnectionError):
        pass
    writer.close()


@pytest.mark.parametrize('first_seed', [0, 10_000])
async def test_a_request_hidden_in_a_malformed_one_does_not_run(
    first_seed: int,
) -> None:
    async with running_gateway(fine) as setup:
        cases = {
            seed: malformed(seed)
            for seed in range(first_seed, first_seed + CASES)
        }
        payloads = [payload for payload, _ in cases.values()]
        for start in range(0, CASES, BATCH_SIZE):
            batch = payloads[start : start + BATCH_SIZE]
            await asyncio.gather(*(send(setup, payload) for payload in batch))
        assert setup.runs
        for run in setup.runs:
            name, _, seed = run.attempt.rpartition('-')
            if not name:
                continue
            # A changed byte may destroy the Content-Length header, so that
            # the body is a valid request; inserted lines must not do so.
            assert cases[int(seed)][1], payloads[int(seed) - first_seed]
