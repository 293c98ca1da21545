"""Entries of another writer among those of the upstreams."""

import json
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from functools import partial
from typing import Any

import pytest

from bergamotshed.gateway.parts import Gateway
from tests.waiting import until

from .members import start_member
from .scripts import fine
from .support import (
    UPSTREAMS,
    running_gateway,
    send_request,
    upstream_entry,
)

ADDRESS = '127.0.0.1:9'
MAX_COUNT = 2**63 - 1
DEPTH = 100_000


def entry(**fields: Any) -> bytes:
    """Return an entry of a service of its own."""
    known = {**upstream_entry(ADDRESS), 'service': 'foreign', **fields}
    return json.dumps(known).encode()


def with_raw(name: str, value: str) -> bytes:
    """Return an entry with a field whose value is written as it is."""
    return entry(**{name: 0}).replace(
        f'"{name}": 0'.encode(), f'"{name}": {value}'.encode()
    )


ENTRIES = {
    'nested list': with_raw('unknown', '[' * DEPTH + ']' * DEPTH),
    'nested object': with_raw('unknown', '{"a":' * DEPTH + '1' + '}' * DEPTH),
    'nested list without an end': b'[' * DEPTH,
    'nested known field': with_raw('models', '[' * DEPTH + ']' * DEPTH),
    'slots of 5,000 digits': with_raw('slots', '9' * 5000),
    'slots beyond 64 bits': with_raw('slots', str(2**64)),
    'largest slots': entry(slots=MAX_COUNT),
    'sequence with an exponent': with_raw('sequence', '1e400'),
    'sequence beyond 64 bits': with_raw('sequence', str(MAX_COUNT + 1)),
    'largest sequence and start': entry(sequence=MAX_COUNT, born=MAX_COUNT),
    'start that is negative': entry(born=-(2**63)),
    'start with a fraction': with_raw('born', '1.5'),
    'start that is no number': with_raw('born', 'NaN'),
    'port beyond the range': entry(address='127.0.0.1:65536'),
    'port far beyond the range': entry(address=f'127.0.0.1:{10**30}'),
    'negative port': entry(address='127.0.0.1:-1'),
    'port with a space': entry(address='127.0.0.1: 80'),
    'no port': entry(address='127.0.0.1'),
    'address of another family': entry(address='[::1]:80'),
    'half a surrogate pair': with_raw('version', r'"\ud800"'),
    'zero byte': with_raw('version', r'"a\u0000b"'),
    'long version': entry(version='v' * 300_000),
    'many models': entry(models=[{'name': f'm{n}'} for n in range(5000)]),
    'no UTF-8': entry(version='v').replace(b'"v"', b'"\xff"'),
    'null': b'null',
    'bytes': bytes(range(256)),
}
KEYS = ('foreign', 'k' * 255, 'a b', 'a\nb', 'ü', '../i-0')


async def until_listed(gateways: list[Gateway], count: int) -> None:
    """Wait until all gateways list so many upstreams of the test."""
    for gateway in gateways:
        members = gateway.fleet.registry.members
        await until(partial(_has_length, partial(members, 's'), count))


def _has_length(members: Callable[[], Sequence[object]], count: int) -> bool:
    return len(members()) == count


@pytest.mark.parametrize('value', ENTRIES.values(), ids=ENTRIES)
async def test_a_foreign_entry_does_not_stop_a_router(value: bytes) -> None:
    async with AsyncExitStack() as stack:
        env = await stack.enter_async_context(running_gateway(fine))
        for key in KEYS:
            env.store.put(UPSTREAMS, key, value)
        address = env.upstreams[0].address
        env.store.put(UPSTREAMS, 'i-1', upstream_entry(address))
        member = await start_member(stack, env, 'gw-a')
        gateways = [env.gateway, member.gateway]
        await until_listed(gateways, 2)
        assert (await send_request(env.port, '/once/a')).status == 200
        assert (await send_request(member.port, '/once/a')).status == 200
        # Another change shows that the list is still followed.
        env.store.put(UPSTREAMS, 'i-1', b'')
        await until_listed(gateways, 1)
