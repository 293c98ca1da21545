import asyncio
from datetime import timedelta

import pytest
from aiohttp import ClientError, web

from bergamotshed.callers import handlers
from tests.callers.chat_client import send_chat
from tests.dispatch.support import open_bench


async def test_the_connection_of_a_caller_that_does_not_read_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write = web.StreamResponse.write

    async def blocking_write(self: web.StreamResponse, piece: bytes) -> None:
        if b'chat.completion.chunk' in piece:
            await asyncio.Event().wait()
        await write(self, piece)

    monkeypatch.setattr(web.StreamResponse, 'write', blocking_write)
    monkeypatch.setattr(handlers, 'WRITE_GRACE', timedelta(seconds=0.1))
    async with open_bench() as bench:
        with pytest.raises(ClientError):
            await send_chat(
                bench.session,
                bench.url,
                'hello',
                headers={'X-Deadline-Ms': '100'},
            )
        assert not bench.placer.grants
