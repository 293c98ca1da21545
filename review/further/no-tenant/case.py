"""The keys of the only tenant are taken away, and the tenant with them."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import support as s

#: Bound of the site, in seconds.
REVOKE_S = 5.0
REQUESTS = 10


async def case(record, scratch, stack):
    store = await s.Store().start()
    stack.push_async_callback(store.close)
    engine = await s.Engine('i-0', record).start()
    stack.push_async_callback(engine.close)
    store.put('keyed.servers', engine.name, engine.entry('desk'))
    routes = [s.route('book', 'desk')]
    services = [s.service('desk')]
    tenant = {'name': 'a', 'api_keys': ['key-a']}
    store.put(
        'keyed.op', 'config', s.configuration(1, routes, services, [tenant])
    )
    gateways = []
    for number in range(2):
        gateway = s.Gateway(f'front-{number}', number, store.address, scratch)
        stack.push_async_callback(gateway.end)
        await gateway.start()
        gateways.append(gateway)
    for gateway in gateways:
        await s.until(gateway.is_ready, 20, 'not ready')
    await asyncio.sleep(3)

    async def send(key, label):
        """Return the statuses of requests with a key, over both routers."""
        statuses = []
        for number in range(REQUESTS):
            attempt = f'{label}-{number}'
            answer = await s.call(
                gateways[number % 2].callers, '/book/1', attempt, key=key,
                body=b'{}',
            )
            record('client', attempt, 'with', key, 'gets', answer)
            statuses.append(answer.status)
        return statuses

    assert await send('key-a', 'before') == [200] * REQUESTS
    assert await send('key-x', 'unknown-before') == [401] * REQUESTS
    if s.TROUBLE:
        store.put(
            'keyed.op', 'config', s.configuration(2, routes, services, [])
        )
        record('store: acknowledges version 2, which holds no tenant')
    await asyncio.sleep(REVOKE_S + 1)
    before = len(engine.runs)
    await send('key-a', 'after')
    await send('key-x', 'unknown-after')
    ran = [attempt for _, attempt in engine.runs[before:]]
    allowed = 0 if s.TROUBLE else REQUESTS
    record(len(ran), 'requests ran,', allowed, 'of them allowed')
    return s.BROKEN if len(ran) > allowed else s.HELD


if __name__ == '__main__':
    s.run_case(HERE, case)
