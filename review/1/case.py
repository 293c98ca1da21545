"""Another writer leaves an entry that can't be read in the list of engines;
later all processes are killed.
"""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import support as s

#: Bounds of the site, in seconds.
DRAIN_S = 2.0
CONTACT_S = 3.0
RECOVERY_S = 12.0
#: How much longer than the bound the engine goes on serving.
LONGER_S = 1.0
INTERVAL_S = 0.05
SENT_AFTER_KILL = 40
#: Share of the requests that have to be served after the kill.
LEAST_SERVED = 0.25
#: 1.2 KB that are no JSON text: lists that are opened and never closed.
UNREADABLE = b'{"":' + b'[' * 1200


async def send_all(record, gateways, stop):
    """Send requests at an even rate; return the attempts that failed."""
    failed = []
    tasks = []

    async def send(number):
        attempt = f'attempt-{number}'
        answer = await s.call(
            gateways[number % 2].callers, '/book/1', attempt, key='key-a',
            body=b'{}',
        )
        if answer.status != 200:
            failed.append(attempt)
            record('client', attempt, 'gets', answer, answer.body[:90])

    while not stop.is_set():
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return failed


async def case(record, scratch, stack):
    loop = asyncio.get_running_loop()
    store = await s.Store().start()
    stack.push_async_callback(store.close)
    old, other = [await s.Engine(f'i-{n}', record).start() for n in range(2)]
    for engine in (old, other):
        stack.push_async_callback(engine.close)
        store.put('keyed.servers', engine.name, engine.entry('desk'))
    store.put('keyed.op', 'config', s.configuration(
        1,
        [s.route('book', 'desk')],
        [s.service('desk')],
        [{'name': 'a', 'api_keys': ['key-a']}],
    ))
    gateways = []
    for number in range(2):
        gateway = s.Gateway(f'front-{number}', number, store.address, scratch)
        stack.push_async_callback(gateway.end)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        await s.until(gateway.is_ready, 20, 'not ready')
    await asyncio.sleep(CONTACT_S + 1)
    stop = asyncio.Event()
    sending = asyncio.ensure_future(send_all(record, gateways, stop))
    if s.TROUBLE:
        store.put('keyed.servers', 'other-writer', UNREADABLE)
        record('store: an entry that can not be read')
    await asyncio.sleep(CONTACT_S + 1)
    store.put(
        'keyed.servers', old.name,
        old.entry('desk', state='draining', sequence=2),
    )
    acknowledged_at = loop.time()
    record('store: acknowledges that', old.name, 'is draining')
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await old.close()
    record('engine', old.name, 'exits')
    store.put('keyed.servers', old.name, b'')
    await asyncio.sleep(1)
    stop.set()
    failed = await sending
    late = [
        at - acknowledged_at
        for at, _ in old.runs
        if at > acknowledged_at + DRAIN_S
    ]
    record(
        len(late), 'requests reached', old.name, 'late, the last',
        f'{max(late, default=0):.3f} s after;', len(failed), 'failed',
    )
    served = await serve_after_kill(record, gateways)
    record(f'{served:.0%} of the requests are served after the kill')
    return s.BROKEN if late or served < LEAST_SERVED else s.HELD


async def serve_after_kill(record, gateways):
    """Kill and start all processes; return the share served afterwards."""
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    record('all processes are killed')
    for gateway in gateways:
        await gateway.process.wait()
        await gateway.start()
    for gateway in gateways:
        await s.until(gateway.is_ready, 20, 'not ready')
    record('all processes are back and say that they are ready')
    await asyncio.sleep(RECOVERY_S + 1)
    statuses = []
    for number in range(SENT_AFTER_KILL):
        attempt = f'after-{number}'
        answer = await s.call(
            gateways[number % 2].callers, '/book/1', attempt, key='key-a',
            body=b'{}',
        )
        record('client', attempt, 'gets', answer, answer.body[:90])
        statuses.append(answer.status)
        await asyncio.sleep(INTERVAL_S)
    return statuses.count(200) / len(statuses)


if __name__ == '__main__':
    s.run_case(HERE, case)
