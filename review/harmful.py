"""Engines of one service that a harmful request crashes."""

import asyncio
import time

import support as s

BACK_AFTER_S = 3.0
ENTRY_LAPSES_S = 3.6
RUN_S = 0.2
SLOTS = 16


class Fleet:
    """The engines of one service; one that crashes comes back with a new id."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.number = 0
        self.live = []
        self.crashes = []
        self.harmful_arrivals = []
        self.tasks = set()

    async def start_engine(self):
        engine = await s.Engine(f'i-{self.number}', self.quiet, self.serve).start()
        self.number += 1
        engine.writers = set()
        engine.is_down = False
        self.live.append(engine)
        self.store.put('keyed.servers', engine.name, engine.entry('desk', slots=SLOTS))
        return engine

    def quiet(self, *words):
        if 'harmful' in words[3]:
            self.record(*words)

    async def serve(self, engine, method, target, headers, body, writer):
        engine.writers.add(writer)
        attempt = headers['bergamotshed-attempt-id']
        if target.endswith('/harmful'):
            self.harmful_arrivals.append(time.monotonic())
            await asyncio.sleep(0.02)
            self.crash(engine, 'of the harmful request')
            return
        await asyncio.sleep(RUN_S)
        writer.write(s.sealed(attempt, b'fine'))

    def crash(self, engine, why):
        if engine.is_down:
            return
        engine.is_down = True
        self.live.remove(engine)
        self.record('engine', engine.name, 'crashes because', why)
        if 'harmful' in why:
            self.crashes.append(time.monotonic())
        engine._server.close()
        for writer in list(engine.writers):
            s.reset(writer)
        for task in list(engine._tasks):
            task.cancel()
        self.spawn(self.replace(engine))

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def replace(self, engine):
        await asyncio.sleep(BACK_AFTER_S)
        new = await self.start_engine()
        self.record('engine', new.name, 'is back in place of', engine.name)
        await asyncio.sleep(ENTRY_LAPSES_S - BACK_AFTER_S)
        self.store.put('keyed.servers', engine.name, b'')
