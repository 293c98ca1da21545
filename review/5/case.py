"""Engines are replaced while the router that reads the list for another one
is cut off from the store.
"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import support as s

#: Bounds of the site, in seconds.
DRAIN_S = 2.0
CONTACT_S = 3.0
#: Length of the cut.
CUT_S = 5.0
#: From the entry of the new engine to the cut, and from there to the draining
#: entry of the old one.
STEP_S = 0.1
#: How much longer than the bound the old engine goes on serving.
LONGER_S = 0.6
INTERVAL_S = 0.02
RUN_S = 0.09


class Link(s.Server):
    """A router's link to the store; while it is cut, all bytes wait.

    :ivar list_reads: reads of the list of engines that went through
    """

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.list_reads = 0
        self._is_open = asyncio.Event()
        self._is_open.set()

    def cut(self):
        self._is_open.clear()

    def heal(self):
        self._is_open.set()

    async def serve(self, reader, writer):
        await self._is_open.wait()
        host, port = self.target.split(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                self._pipe(reader, far_writer), self._pipe(far_reader, writer)
            )
        finally:
            far_writer.close()

    async def _pipe(self, reader, writer):
        while block := await reader.read(65_536):
            if b'/log-read' in block and b'keyed.servers' in block:
                self.list_reads += 1
            await self._is_open.wait()
            writer.write(block)
            await writer.drain()
        await self._is_open.wait()
        writer.close()


class Engine(s.Engine):
    """Runs each request for a while; can exit."""

    def __init__(self, name, record):
        super().__init__(name, record, self._answer)
        self._writers = set()

    async def serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _answer(self, _engine, method, target, headers, body, writer):
        await asyncio.sleep(RUN_S)
        writer.write(s.sealed(headers['bergamotshed-attempt-id'], b'fine'))

    def exit(self):
        self._server.close()
        for writer in list(self._writers):
            s.reset(writer)


async def send_all(record, address, stop):
    """Send requests at an even rate; return the attempts that failed."""
    failed = []
    tasks = []

    async def send(attempt):
        answer = await s.call(
            address, '/book/1', attempt, key='key-a', body=b'{}'
        )
        if answer.status != 200:
            failed.append(attempt)
            record('client', attempt, 'gets', answer, answer.body[:90])

    while not stop.is_set():
        tasks.append(asyncio.ensure_future(send(f'attempt-{len(tasks)}')))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return failed


async def case(record, scratch, stack):
    store = await s.Store().start()
    stack.push_async_callback(store.close)
    old, other, new = [
        await Engine(f'i-{number}', record).start() for number in range(3)
    ]
    for engine in (old, other, new):
        stack.push_async_callback(engine.close)
    for engine in (old, other):
        store.put('keyed.servers', engine.name, engine.entry('desk'))
    store.put('keyed.op', 'config', s.configuration(
        1,
        [s.route('book', 'desk')],
        [s.service('desk')],
        [{'name': 'a', 'api_keys': ['key-a']}],
    ))
    gateways, links = [], []
    for number in range(2):
        link = await Link(store.address).start()
        stack.push_async_callback(link.close)
        links.append(link)
        gateway = s.Gateway(f'front-{number}', number, link.address, scratch)
        stack.push_async_callback(gateway.end)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        await s.until(gateway.is_ready, 20, 'not ready')
    await asyncio.sleep(CONTACT_S)
    before = [link.list_reads for link in links]
    await asyncio.sleep(CONTACT_S)
    reads = [link.list_reads - count for link, count in zip(links, before)]
    record('reads of the list in 3 s:', reads)
    reader = reads.index(max(reads))
    calm = 1 - reader
    stop = asyncio.Event()
    sending = asyncio.ensure_future(
        send_all(record, gateways[calm].callers, stop)
    )
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()
    store.put('keyed.servers', new.name, new.entry('desk'))
    record('store: entry of', new.name)
    await asyncio.sleep(STEP_S)
    if s.TROUBLE:
        links[reader].cut()
        record('cut between', gateways[reader].name, 'and the store')
    await asyncio.sleep(STEP_S)
    store.put(
        'keyed.servers', old.name,
        old.entry('desk', state='draining', sequence=2),
    )
    acknowledged_at = loop.time()
    record('store: acknowledges that', old.name, 'is draining')
    await asyncio.sleep(DRAIN_S + LONGER_S)
    old.exit()
    record('engine', old.name, 'exits')
    store.put('keyed.servers', old.name, b'')
    await asyncio.sleep(CUT_S - STEP_S - DRAIN_S - LONGER_S)
    links[reader].heal()
    stop.set()
    failed = await sending
    late = [
        (attempt, at - acknowledged_at)
        for at, attempt in old.runs
        if at > acknowledged_at + DRAIN_S
    ]
    for attempt, delay in late:
        record(attempt, 'reached', old.name, f'{delay:.3f} s after')
    record(
        len(late), 'requests reached', old.name, 'late;',
        len(failed), 'requests failed; last arrival',
        f'{max(at for at, _ in old.runs) - acknowledged_at:.3f} s after',
    )
    return s.BROKEN if late else s.HELD


if __name__ == '__main__':
    s.run_case(HERE, case)
