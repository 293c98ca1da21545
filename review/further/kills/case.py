"""A request that crashes engines comes again after all machines were killed."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))
import support as s
from harmful import Fleet

ENGINES = 3
CONTACT_S = 3.0
PERIOD_S = 3.5
PHASES = 3
CALLS_IN_PHASE = 4
DOWN_S = 0.5


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
            [s.route('book', 'desk')],
            [s.service('desk')],
            [{'name': 'booker', 'api_keys': ['key-b'], 'priority': 1}],
        ),
    )

    async def start():
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await s.until(gateway.is_ready, 20, 'ready')
        await asyncio.sleep(CONTACT_S + 0.3)

    await start()
    number = 0
    for phase in range(PHASES):
        for _ in range(CALLS_IN_PHASE):
            answer = await s.call(
                gateways[number % 2].callers,
                '/book/harmful',
                f'harmful-{number}',
                key='key-b',
                body=b'the same',
            )
            record(f'client: harmful request {number}:', answer)
            number += 1
            await asyncio.sleep(PERIOD_S)
        if s.TROUBLE and phase < PHASES - 1:
            record('all machines are killed')
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)
            for gateway in gateways:
                await gateway.process.wait()
            await asyncio.sleep(DOWN_S)
            await start()
            record('all machines have been back for over 3 s')
    for task in list(fleet.tasks):
        task.cancel()
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
