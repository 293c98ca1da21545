import asyncio
from datetime import timedelta

import pytest
from aiohttp import ClientError, web

from bergamotshed.callers import handlers
from tests.callers.chat_client import ask
from tests.dispatch.support import open_bench


async def test_a_caller_that_does_not_read_is_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write = web.StreamResponse.write

    async def blocked(self: web.StreamResponse, piece: bytes) -> None:
        if b'chat.completion.chunk' in piece:
            await asyncio.Event().wait()
        await write(self, piece)

    monkeypatch.setattr(web.StreamResponse, 'write', blocked)
    monkeypatch.setattr(handlers, 'WRITE_GRACE', timedelta(seconds=0.1))
    async with open_bench() as bench:
        with pytest.raises(ClientError):
            await ask(
                bench.session,
                bench.url,
                'hello',
                headers={'X-Deadline-Ms': '100'},
            )
        assert not bench.placer.held
