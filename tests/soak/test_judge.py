import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests.gateway.support import RawResponse
from tests.standins.rawupstream import RawRequest

from .callers import CallRecord, Resumption
from .engines import EVENT_COUNT, EngineRun, expected_events
from .faults import Fault, draw_faults
from .fleet import Fleet
from .judge import find_violations

TARGET = '/once/1?n=1'
COMPLETE_BODY = b'a /once/1?n=1'


def engine_run(engine: str = 'i-0', target: str = TARGET) -> EngineRun:
    request = RawRequest(f'GET {target} HTTP/1.1', {}, b'', 0)
    return EngineRun('a', engine, 10, request)


def call(
    status: int = 200,
    body: bytes = COMPLETE_BODY,
    *,
    route: str = 'once',
    cut: bool = False,
    sent_at: float = 10,
) -> CallRecord:
    response = RawResponse(status, {}, body, cut)
    return CallRecord('a', route, TARGET, 'k', sent_at, 0.1, response)


def fleet(
    *runs: EngineRun, revoked_at: float | None = None, **router: Any
) -> Fleet:
    stub = SimpleNamespace(
        runs=list(runs),
        revoked_at={} if revoked_at is None else {'k': revoked_at},
        routers=[
            SimpleNamespace(
                **{
                    'name': 'gw',
                    'unexpected_exit_codes': [],
                    'overdue_stops': 0,
                    **router,
                }
            )
        ],
    )
    return cast(Fleet, stub)


def violations_of(stub_fleet: Fleet, record: CallRecord) -> str:
    return ' '.join(find_violations(stub_fleet, [record], []))


COMPLETE_STREAM = expected_events('a', 0, EVENT_COUNT - 1)
STREAM_START = expected_events('a', 0, 3)


@pytest.mark.parametrize(
    ('stub_fleet', 'record', 'expected'),
    [
        pytest.param(fleet(engine_run()), call(), '', id='answered once'),
        pytest.param(
            fleet(engine_run(), engine_run('i-1')), call(), 'TWICE', id='twice'
        ),
        pytest.param(
            fleet(engine_run(), engine_run('i-1')),
            call(route='twice'),
            '',
            id='repeatable',
        ),
        pytest.param(
            fleet(engine_run()),
            call(503, b''),
            'REFUSED',
            id='refused though run',
        ),
        pytest.param(fleet(), call(503, b''), '', id='refused and not run'),
        pytest.param(fleet(engine_run()), call(502, b''), '', id='unknown'),
        pytest.param(
            fleet(engine_run()), call(200, b'b'), 'MIXED', id='foreign'
        ),
        pytest.param(
            fleet(engine_run()),
            call(200, COMPLETE_BODY[:-1]),
            'MIXED',
            id='truncated',
        ),
        pytest.param(
            fleet(engine_run()),
            call(200, COMPLETE_STREAM, route='stream'),
            '',
            id='stream',
        ),
        pytest.param(
            fleet(engine_run()),
            call(200, STREAM_START, route='stream'),
            'MIXED',
            id='stream that looks complete',
        ),
        pytest.param(
            fleet(engine_run()),
            call(200, STREAM_START, route='stream', cut=True),
            '',
            id='stream seen as cut',
        ),
        pytest.param(
            fleet(engine_run()),
            call(200, STREAM_START[:-3], route='stream', cut=True),
            'MIXED',
            id='part of an event',
        ),
        pytest.param(
            fleet(engine_run()),
            call(200, STREAM_START + STREAM_START, route='stream', cut=True),
            'MIXED',
            id='events twice',
        ),
        pytest.param(
            fleet(engine_run(), revoked_at=8), call(), '', id='in time'
        ),
        pytest.param(
            fleet(engine_run(), revoked_at=7),
            call(),
            'CONFIG',
            id='revoked key',
        ),
        pytest.param(
            fleet(engine_run(target='/once/2')), call(), 'UNASKED', id='changed'
        ),
        pytest.param(
            fleet(engine_run(), unexpected_exit_codes=[1]),
            call(),
            'EXIT',
            id='unexpected exit',
        ),
        pytest.param(
            fleet(engine_run(), overdue_stops=1), call(), 'STOP', id='overdue'
        ),
    ],
)
def test_each_broken_promise_is_found(
    stub_fleet: Fleet, record: CallRecord, expected: str
) -> None:
    violations = violations_of(stub_fleet, record)
    assert (expected in violations) if expected else not violations


def test_late_runs_at_leaving_engines() -> None:
    assert not find_violations(fleet(), [], [(engine_run(), 1.9)])
    assert 'DRAIN' in find_violations(fleet(), [], [(engine_run(), 2.1)])[0]


def test_the_seed_determines_the_faults_and_some_start_together() -> None:
    names = [
        [fault.name for fault in draw_faults(random.Random(seed), 8)]
        for seed in (1, 1, 2)
    ]
    assert names[0] == names[1] != names[2]
    start_times = [fault.start_s for fault in draw_faults(random.Random(1), 8)]
    assert len(set(start_times)) < len(start_times)
    assert len(Fault.__subclasses__()) > 10


def test_the_soak_is_less_than_a_tenth_of_the_code() -> None:
    root = Path(__file__).resolve().parents[2]
    lines = {
        path: len(path.read_text().splitlines())
        for part in ('src', 'tests', 'tools')
        for path in (root / part).rglob('*.py')
    }
    soak_lines = sum(
        count for path, count in lines.items() if path.parent.name == 'soak'
    )
    assert soak_lines < sum(lines.values()) / 10


def resuming_run(attempt_id: str, version: str, last_event: int) -> EngineRun:
    headers = {'last-event-id': str(last_event)} if last_event >= 0 else {}
    request = RawRequest(f'GET {TARGET} HTTP/1.1', headers, b'', 0)
    return EngineRun(attempt_id, 'i-0', 10, request, version)


@pytest.mark.parametrize('version', ['v1', 'v2'])
def test_a_stream_that_goes_on_at_another_version_is_found(
    version: str,
) -> None:
    record = CallRecord(
        'b',
        'resumed',
        TARGET,
        'k',
        10,
        0.1,
        RawResponse(200, {}, expected_events('b', 3, EVENT_COUNT - 1), False),
        Resumption('a', 3),
    )
    stub = fleet(
        resuming_run('a', 'v2', -1),
        resuming_run('a', 'v1', -1),
        resuming_run('b', version, 2),
    )
    assert ('ORDER' in violations_of(stub, record)) is (version == 'v2')
