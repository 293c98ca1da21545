import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from tests.gateway.support import RawResponse
from tests.standins.rawupstream import RawRequest

from .callers import Seen
from .engines import EVENTS, Run, expected_events
from .faults import Fault, draw_faults
from .fleet import Fleet
from .judge import judge

TARGET = '/once/1?n=1'
WHOLE = b'a /once/1?n=1'


def run(engine: str = 'i-0', target: str = TARGET) -> Run:
    request = RawRequest(f'GET {target} HTTP/1.1', {}, b'', 0)
    return Run('a', engine, 10, request)


def seen(
    status: int = 200,
    body: bytes = WHOLE,
    *,
    kind: str = 'once',
    cut: bool = False,
    sent_at: float = 10,
) -> Seen:
    spoken = RawResponse(status, {}, body, cut)
    return Seen('a', kind, TARGET, 'k', sent_at, 0.1, spoken)


def fleet(*runs: Run, revoked: float | None = None, **router: Any) -> Fleet:
    made = SimpleNamespace(
        runs=list(runs),
        revoked={} if revoked is None else {'k': revoked},
        routers=[
            SimpleNamespace(
                **{'name': 'gw', 'ends': [], 'overdue': 0, **router}
            )
        ],
    )
    return cast(Fleet, made)


def verdict(made: Fleet, one: Seen) -> str:
    return ' '.join(judge(made, [one], []))


STREAM = expected_events('a', 0, EVENTS - 1)
PART = expected_events('a', 0, 3)


@pytest.mark.parametrize(
    ('made', 'one', 'expected'),
    [
        pytest.param(fleet(run()), seen(), '', id='fine'),
        pytest.param(fleet(run(), run('i-1')), seen(), 'TWICE', id='twice'),
        pytest.param(
            fleet(run(), run('i-1')), seen(kind='twice'), '', id='repeatable'
        ),
        pytest.param(fleet(run()), seen(503, b''), 'REFUSED', id='untrue'),
        pytest.param(fleet(), seen(503, b''), '', id='true'),
        pytest.param(fleet(run()), seen(502, b''), '', id='unknown'),
        pytest.param(fleet(run()), seen(200, b'b'), 'MIXED', id='foreign'),
        pytest.param(fleet(run()), seen(200, WHOLE[:-1]), 'MIXED', id='short'),
        pytest.param(
            fleet(run()), seen(200, STREAM, kind='stream'), '', id='stream'
        ),
        pytest.param(
            fleet(run()),
            seen(200, PART, kind='stream'),
            'MIXED',
            id='stream that looks complete',
        ),
        pytest.param(
            fleet(run()),
            seen(200, PART, kind='stream', cut=True),
            '',
            id='stream seen as cut',
        ),
        pytest.param(
            fleet(run()),
            seen(200, PART[:-3], kind='stream', cut=True),
            'MIXED',
            id='part of an event',
        ),
        pytest.param(
            fleet(run()),
            seen(200, PART + PART, kind='stream', cut=True),
            'MIXED',
            id='events twice',
        ),
        pytest.param(fleet(run(), revoked=8), seen(), '', id='in time'),
        pytest.param(
            fleet(run(), revoked=7), seen(), 'CONFIG', id='revoked key'
        ),
        pytest.param(
            fleet(run(target='/once/2')), seen(), 'UNASKED', id='changed'
        ),
        pytest.param(fleet(run(), ends=[1]), seen(), 'EXIT', id='own end'),
        pytest.param(fleet(run(), overdue=1), seen(), 'STOP', id='overdue'),
    ],
)
def test_each_broken_promise_is_seen(
    made: Fleet, one: Seen, expected: str
) -> None:
    said = verdict(made, one)
    assert (expected in said) if expected else not said


def test_late_runs_at_leaving_engines() -> None:
    assert not judge(fleet(), [], [(run(), 1.9)])
    assert 'DRAIN' in judge(fleet(), [], [(run(), 2.1)])[0]


def test_faults_follow_from_the_seed_and_come_in_series() -> None:
    names = [
        [fault.name for fault in draw_faults(random.Random(seed), 8)]
        for seed in (1, 1, 2)
    ]
    assert names[0] == names[1] != names[2]
    moments = [fault.at for fault in draw_faults(random.Random(1), 8)]
    assert len(set(moments)) < len(moments)
    assert len(Fault.__subclasses__()) > 10


def test_the_soak_stays_small() -> None:
    root = Path(__file__).resolve().parents[2]
    lines = {
        path: len(path.read_text().splitlines())
        for part in ('src', 'tests', 'tools')
        for path in (root / part).rglob('*.py')
    }
    soak = sum(
        count for path, count in lines.items() if path.parent.name == 'soak'
    )
    assert soak < sum(lines.values()) / 10
