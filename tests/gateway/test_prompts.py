"""When a prompt counts as cached by an upstream, to be copied from there."""

import asyncio

from tests.standins.rawupstream import RawRequest, sealed_answer
from tests.waiting import until

from .scripts import fine
from .support import running_gateway, send_request

EVENTS = 'Content-Type: text/event-stream'
PROMPT = {
    'Bergamotshed-Model': 'm',
    'Bergamotshed-Token-Counts': '1300,10',
    'Bergamotshed-Prompt-Prefix': 'a1:800,b2:400,c3:100',
}


async def streams_on(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'', sized=False, extra=EVENTS))
    writer.write(b'id: 0\ndata: x\n\n')
    await asyncio.sleep(30)


async def test_a_prompt_counts_as_read_from_the_first_event() -> None:
    # If the prompt counted as read only at the end of the answer, a second
    # upstream would read it again while the first one still streams.
    async with running_gateway(streams_on) as setup:
        sending = asyncio.create_task(
            send_request(setup.port, '/stream/a', headers=PROMPT)
        )
        memory = setup.gateway.fleet.shared.prompts.memory
        await until(lambda: memory.readers('b2') == [('i-0', 1)])
        assert not sending.done()
        sending.cancel()


async def test_a_prompt_without_readers_is_not_copied() -> None:
    async with running_gateway(fine) as setup:
        await send_request(setup.port, '/stream/a', headers=PROMPT)
        assert 'kv-fetch' not in setup.runs[0].headers
