"""A machine comes back to the store behind more than 1,024 KB of versions."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import support as s

IDLE_ROUTES = 400
VERSIONS = 24
GAP_S = 0.08
CUT_S = 9.0


async def case(record, scratch, stack):
    store = await s.Store().start()
    stack.push_async_callback(store.close)
    engine = await s.Engine('i-0', record).start()
    stack.push_async_callback(engine.close)
    proxies, gateways = [], []
    for number in range(2):
        proxy = await s.Proxy(store.address).start()
        stack.push_async_callback(proxy.close)
        gateway = s.Gateway(
            f'gw-{number}', number, proxy.address, scratch, f'zone-{number}'
        )
        stack.push_async_callback(gateway.end)
        proxies.append(proxy)
        gateways.append(gateway)

    def publish(version, keys):
        routes = [s.route('desk', 'desk')]
        routes += [
            s.route(f'idle-{number}-{version}', 'desk')
            for number in range(IDLE_ROUTES)
        ]
        size = store.put(
            'keyed.op',
            'config',
            s.configuration(
                version,
                routes,
                [s.service('desk')],
                [{'name': 'org', 'api_keys': keys, 'priority': 1}],
            ),
        )
        record('operator: version', version, 'keys', *keys, 'bytes', size)

    store.put('keyed.servers', 'i-0', engine.entry('desk'))
    publish(1, ['kept', 'revoked'])
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await s.until(gateway.is_ready, 20, 'ready')
    cut_off = gateways[0]
    before = await s.call(cut_off.callers, '/desk/a', 'before', key='revoked')
    record('request before:', before)
    if before.status != 200:
        return s.NOT_RUN
    await asyncio.sleep(6)

    if s.TROUBLE:
        record('gw-0 is cut off from the store')
        proxies[0].cut()
    cut_at = time.monotonic()
    await asyncio.sleep(0.2)
    for number in range(VERSIONS):
        publish(2 + number, ['kept', 'revoked'])
        await asyncio.sleep(GAP_S)
    publish(2 + VERSIONS, ['kept'])
    revoked_at = time.monotonic()
    record('acknowledged: the key "revoked" is taken away')

    async def heal():
        await asyncio.sleep(max(0, cut_at + CUT_S - time.monotonic()))
        proxies[0].heal()
        record('the cut ends')

    healing = asyncio.ensure_future(heal())
    sent = {}
    answers = {}

    async def send(attempt):
        answer = await s.call(
            cut_off.callers, '/desk/a', attempt, key='revoked'
        )
        answers[attempt] = answer.status
        late = sent[attempt] - revoked_at
        record(f'client: {attempt} sent {late:.3f} s after:', answer)

    await asyncio.sleep(max(0, revoked_at + 5.1 - time.monotonic()))
    tasks = []
    number = 0
    while time.monotonic() < cut_at + CUT_S + 3:
        attempt = f'late-{number}'
        number += 1
        sent[attempt] = time.monotonic()
        tasks.append(asyncio.ensure_future(send(attempt)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    await healing
    last = await s.call(cut_off.callers, '/desk/a', 'after', key='kept')
    record('request after, with the kept key:', last)
    late_runs = [
        attempt
        for _, attempt in engine.runs
        if attempt in sent and sent[attempt] - revoked_at > 5.0
    ]
    record(
        f'{len(sent)} requests with the revoked key were sent more than 5 s'
        f' after the acknowledgement; {len(late_runs)} of them ran'
    )
    if last.status != 200:
        return s.NOT_RUN
    return s.BROKEN if late_runs else s.HELD


s.run_case(Path(__file__).parent, case)
