"""An entry of another writer stands in the list of engines."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import support as s

DEPTH = 2000
DRAIN_S = 2.0
RECOVERY_S = 12.0
REQUESTS = 60


def foreign_entry():
    """Return an entry whose field `stage` is of another type."""
    entry = {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'stage': '@',
        'sequence': 1,
        'born': 1_700_000_000_000,
    }
    nested = '[' * DEPTH + ']' * DEPTH
    return json.dumps(entry).replace('"@"', nested).encode()


async def case(record, scratch, stack):
    store = await s.Store().start()
    stack.push_async_callback(store.close)
    engines = []
    for number in range(3):
        engine = await s.Engine(f'i-{number}', record).start()
        stack.push_async_callback(engine.close)
        engines.append(engine)
        store.put('keyed.servers', engine.name, engine.entry('desk'))
    gateways = []
    for number in range(2):
        gateway = s.Gateway(
            f'gw-{number}', number, store.address, scratch, f'zone-{number}'
        )
        stack.push_async_callback(gateway.end)
        gateways.append(gateway)
    store.put(
        'keyed.op',
        'config',
        s.configuration(
            1,
            [s.route('desk', 'desk')],
            [s.service('desk')],
            [{'name': 'org', 'api_keys': ['k'], 'priority': 1}],
        ),
    )

    async def start():
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await s.until(gateway.is_ready, 20, 'ready')

    sent = {}

    async def send(label, count):
        """Send requests to all machines in turn; return how many are served."""
        statuses = {}
        for number in range(count):
            attempt = f'{label}-{number}'
            sent[attempt] = time.monotonic()
            answer = await s.call(
                gateways[number % 2].callers, '/desk/a', attempt, key='k'
            )
            record(f'client: {attempt} at gw-{number % 2}:', answer)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.05)
        record(f'{label}: {count} requests, answers by status:', statuses)
        return statuses.get(200, 0)

    await start()
    await asyncio.sleep(4)
    before = await send('before', REQUESTS)
    if s.TROUBLE:
        record('another writer puts an entry into the list of engines')
        store.put('keyed.servers', 'i-foreign', foreign_entry())
    await asyncio.sleep(4)
    store.put(
        'keyed.servers',
        'i-0',
        engines[0].entry('desk', state='draining', sequence=2),
    )
    drained_at = time.monotonic()
    record('acknowledged: engine i-0 is draining')
    await asyncio.sleep(DRAIN_S + 0.1)
    await send('draining', REQUESTS)
    late = [
        attempt
        for _, attempt in engines[0].runs
        if sent[attempt] > drained_at + DRAIN_S
    ]
    record(
        f'{len(late)} requests that were sent later than 2 s after the'
        ' acknowledgement reached engine i-0 (DRAIN allows none)'
    )
    record('all machines are killed')
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in gateways:
        await gateway.process.wait()
    await asyncio.sleep(0.5)
    await start()
    record('all machines are back')
    await asyncio.sleep(RECOVERY_S)
    after = await send('after', REQUESTS)
    for gateway in gateways:
        failed = gateway.log_lines('task.failed')
        record(f'{gateway.name} logged {len(failed)} failed tasks')
        if failed:
            record(json.loads(failed[-1])['failure'].strip().splitlines()[-1])
    record(
        f'served before: {before} of {REQUESTS};'
        f' later than 12 s after the machines are back: {after} of {REQUESTS}'
    )
    if before * 4 < REQUESTS:
        return s.NOT_RUN
    return s.BROKEN if after * 4 < REQUESTS else s.HELD


s.run_case(Path(__file__).parent, case)
