"""Where a prompt that an upstream has read is copied from."""

import asyncio

from tests.standins.rawupstream import RawRequest, answer
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
    writer.write(answer(request, b'', sized=False, extra=EVENTS))
    writer.write(b'id: 0\ndata: x\n\n')
    await asyncio.sleep(30)


async def test_a_prompt_counts_as_read_from_the_first_event() -> None:
    # Found on quiet-1: a prompt was read twice by two upstreams as long as
    # the first one's answer went on.
    async with running_gateway(streams_on) as made:
        speaking = asyncio.create_task(
            send_request(made.port, '/stream/a', headers=PROMPT)
        )
        memory = made.gateway.fleet.prompts.memory
        await until(lambda: memory.readers('b2') == [('i-0', 1)])
        assert not speaking.done()
        speaking.cancel()


async def test_a_prompt_that_nobody_has_read_is_not_copied() -> None:
    async with running_gateway(fine) as made:
        await send_request(made.port, '/stream/a', headers=PROMPT)
        assert 'kv-fetch' not in made.runs[0].headers
