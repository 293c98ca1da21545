"""A request that crashes engines runs beside a busy read, after one crash."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import support as s
from harmful import Fleet

ENGINES = 3
CONTACT_S = 3.0
READERS = 30
HARMFUL_PERIOD_S = 4.0
HARMFUL_CALLS = 10


async def case(record, scratch, stack):
    store = await s.Store().start()
    stack.push_async_callback(store.close)
    fleet = Fleet(record, store)
    for _ in range(ENGINES):
        await fleet.start_engine()
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
            [
                s.route('read', 'desk', 'idempotent', max_attempts=2),
                s.route('book', 'desk'),
            ],
            [s.service('desk')],
            [
                {'name': 'reader', 'api_keys': ['key-r'], 'priority': 1},
                {'name': 'booker', 'api_keys': ['key-b'], 'priority': 1},
            ],
        ),
    )
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await s.until(gateway.is_ready, 20, 'ready')
    statuses = {}
    is_over = False

    async def read(reader):
        number = 0
        while not is_over:
            number += 1
            answer = await s.call(
                gateways[reader % 2].callers,
                '/read/gate',
                f'read-{reader}-{number}',
                'GET',
                key='key-r',
            )
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.01 if answer.status == 200 else 0.2)

    readers = [asyncio.ensure_future(read(each)) for each in range(READERS)]
    await asyncio.sleep(3)
    if s.TROUBLE:
        fleet.crash(fleet.live[0], 'of a fault of its own')
    await asyncio.sleep(6)
    for number in range(HARMFUL_CALLS):
        answer = await s.call(
            gateways[number % 2].callers,
            '/book/harmful',
            f'harmful-{number}',
            key='key-b',
            body=b'the same',
        )
        record(
            f'client: harmful request {number}:',
            answer,
            'retry-after',
            answer.headers.get('retry-after', '-'),
        )
        await asyncio.sleep(HARMFUL_PERIOD_S)
    is_over = True
    await asyncio.gather(*readers)
    for task in list(fleet.tasks):
        task.cancel()
    record('answers to the reads, by status:', statuses)
    if len(fleet.crashes) < 3:
        record('fewer than three crashes')
        return s.NOT_RUN
    third = fleet.crashes[2]
    late = [at for at in fleet.harmful_arrivals if at > third + CONTACT_S]
    record(
        f'{len(fleet.crashes)} engines crashed because of the harmful request;'
        f' it reached engines {len(late)} times later than 3 s after it had'
        ' crashed the third (3 allowed)'
    )
    return s.BROKEN if len(late) > 3 else s.HELD


s.run_case(Path(__file__).parent, case)
