"""Damaged requests on real sockets: nothing hidden in one runs."""

import asyncio
import random

import pytest

from tests.gateway.scripts import fine
from tests.gateway.support import HOST, KEY, GatewayEnvironment, running_gateway

CASES = 300
AT_ONCE = 25
FLIP_SHARE = 0.3
INSERTS = (
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


def hidden(seed: int) -> str:
    """Return a request that is sent as a body."""
    return (
        f'POST /once/hidden HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Bergamotshed-Attempt-Id: hidden-{seed}\r\n'
        f'Authorization: Bearer {KEY}\r\n\r\n'
    )


def damaged(seed: int) -> tuple[bytes, bool]:
    """Return a request and whether one of its bytes was changed, too."""
    rng = random.Random(seed)
    body = hidden(seed)
    lines = [
        f'POST /once/{seed} HTTP/1.1\r\n',
        f'Host: {HOST}\r\n',
        f'Bergamotshed-Attempt-Id: {seed}\r\n',
        f'Authorization: Bearer {KEY}\r\n',
        f'Content-Length: {len(body)}\r\n',
    ]
    for _ in range(rng.randint(1, 3)):
        lines.insert(rng.randrange(1, len(lines) + 1), rng.choice(INSERTS))
    head = bytearray(''.join(lines).encode('latin-1'))
    flipped = rng.random() < FLIP_SHARE
    if flipped:
        head[rng.randrange(len(head))] = rng.randrange(256)
    return bytes(head) + b'\r\n' + body.encode(), flipped


async def send(made: GatewayEnvironment, payload: bytes) -> None:
    reader, writer = await asyncio.open_connection('127.0.0.1', made.port)
    writer.write(payload)
    try:
        async with asyncio.timeout(0.3):
            await reader.read()
    except (TimeoutError, ConnectionError):
        pass
    writer.close()


@pytest.mark.parametrize('first', [0, 10_000])
async def test_nothing_hidden_in_a_damaged_request_runs(first: int) -> None:
    async with running_gateway(fine) as made:
        cases = {seed: damaged(seed) for seed in range(first, first + CASES)}
        payloads = [payload for payload, _ in cases.values()]
        for start in range(0, CASES, AT_ONCE):
            batch = payloads[start : start + AT_ONCE]
            await asyncio.gather(*(send(made, payload) for payload in batch))
        assert made.runs
        for run in made.runs:
            name, _, seed = run.attempt.rpartition('-')
            if not name:
                continue
            # A changed byte may take the length away, so that the body is a
            # request of its own; the inserted lines may not.
            assert cases[int(seed)][1], payloads[int(seed) - first]
