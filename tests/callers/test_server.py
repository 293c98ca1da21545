import asyncio

from tests.callers.chat_client import send_chat
from tests.dispatch.support import open_bench
from tests.standins.runs import EngineOptions
from tests.waiting import until

SLOW_ENGINE = (EngineOptions('e0', token_s=0.01),)


async def test_drain_waits_for_requests_in_flight() -> None:
    async with open_bench(SLOW_ENGINE) as bench:
        chat_task = asyncio.create_task(
            send_chat(bench.session, bench.url, 'x tokens=20')
        )
        await until(lambda: bench.server.in_flight)
        await bench.server.drain()
        assert bench.server.in_flight == 0
        assert (await chat_task).is_complete


async def test_requests_on_open_connections_are_refused_while_draining() -> (
    None
):
    async with open_bench(SLOW_ENGINE) as bench:
        await send_chat(bench.session, bench.url, 'warm')
        await bench.server.drain()
        answer = await send_chat(bench.session, bench.url, 'x')
        assert answer.error is not None
        assert (answer.status, answer.error['reason']) == (503, 'stopping')
        assert answer.error['type'] == 'refused, not run'
        assert answer.headers['Connection'] == 'close'
