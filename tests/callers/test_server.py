import asyncio

from tests.callers.chat_client import ask
from tests.dispatch.support import open_bench
from tests.standins.runs import EngineOptions
from tests.waiting import until

SLOW = (EngineOptions('e0', token_s=0.01),)


async def test_drain_finishes_what_is_in_flight() -> None:
    async with open_bench(SLOW) as bench:
        asking = asyncio.create_task(
            ask(bench.session, bench.url, 'x tokens=20')
        )
        await until(lambda: bench.server.in_flight)
        await bench.server.drain()
        assert bench.server.in_flight == 0
        assert (await asking).whole


async def test_kept_connections_are_refused_while_draining() -> None:
    async with open_bench(SLOW) as bench:
        await ask(bench.session, bench.url, 'warm')
        await bench.server.drain()
        told = await ask(bench.session, bench.url, 'x')
        assert told.error is not None
        assert (told.status, told.error['reason']) == (503, 'stopping')
        assert told.error['type'] == 'refused, not run'
        assert told.headers['Connection'] == 'close'
