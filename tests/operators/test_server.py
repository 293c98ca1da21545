from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientSession

from bergamotshed.operators.server import HealthReport, OperatorsServer
from bergamotshed.process.journal import Journal
from bergamotshed.process.metrics import Meters, Sample
from tests.intake.support import make_intake


def message(task: str, **facts: object) -> dict[str, object]:
    return {'timestamp': 1.0, 'task_uuid': task, 'task_level': [1], **facts}


@pytest.fixture
async def server() -> AsyncIterator[OperatorsServer]:
    journal = Journal(max_entries=3)
    journal(message('gone', request='r0'))
    journal(message('one', request='r1'))
    journal(message('one', upstream='e1', outcome='cut'))
    journal(message('two', engine='e1', order='load'))
    meters = Meters('router-1')
    meters.gauge(
        'bergamotshed_in_flight',
        '1',
        'x',
        lambda: [Sample(3, {'service': 'd'})],
    )
    server = OperatorsServer(
        '127.0.0.1',
        0,
        lambda: HealthReport(
            'router-1', False, 'serving', -1, 'no configuration'
        ),
        journal,
        make_intake(),
        meters.exposition,
        lambda request: [f'{request} went to e1'],
    )
    server.register('good', lambda: HealthReport('x', True, 'serving', 1))
    server.register('sets', lambda: {'names': frozenset(('b', 'a'))})
    server.register('broken', lambda: 1 / 0)
    await server.start()
    yield server
    await server.stop()
    meters.close()


@pytest.mark.parametrize(
    ('path', 'status', 'part'),
    [
        ('/health', 503, '"reason":"no configuration"'),
        ('/state', 200, '"good":{"name":"x"'),
        ('/state', 200, '"names":["a","b"]'),
        ('/state', 200, 'ZeroDivisionError'),
        ('/explain?request=r1', 200, '"outcome":"cut"'),
        ('/explain?request=r1', 200, '"decisions":["r1 went to e1"]'),
        ('/explain?request=r0', 200, '{"events":[],'),
        ('/explain?engine=e1', 200, '"order":"load"'),
        ('/explain', 400, 'request= and engine='),
        ('/explain?request=a&engine=b', 400, 'request= and engine='),
        ('/metrics', 200, 'bergamotshed_in_flight{'),
    ],
)
async def test_response_status_and_body(
    server: OperatorsServer, path: str, status: int, part: str
) -> None:
    url = f'http://127.0.0.1:{server.port}{path}'
    async with ClientSession() as session, session.get(url) as response:
        assert response.status == status
        assert part in await response.text()
