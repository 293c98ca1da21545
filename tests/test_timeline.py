import pytest

from tests.timeline import Breach, LoadTimeline

ENGINES = ('a', 'b')


def run(engine: str, start: float, end: float) -> dict[str, object]:
    return {'engine': engine, 'time': start, 'ended_at': end}


RUNS_AND_BREACHES = {
    'even': ([run('a', 0, 4), run('b', 1, 4)], []),
    'too much at once': (
        [run('a', 0, 4), run('a', 1, 4), run('a', 2, 3)],
        [Breach(1, 1, 'start')],
    ),
}


@pytest.mark.parametrize('name', RUNS_AND_BREACHES)
def test_breaches_have_cause_and_length(name: str) -> None:
    runs, expected = RUNS_AND_BREACHES[name]
    assert LoadTimeline(ENGINES, runs, 1.25).breaches == expected


def test_breach_by_ended_requests_has_its_own_cause() -> None:
    runs = [run('a', n / 10, 9) for n in range(3)]
    runs += [run('b', n / 10, 4) for n in range(3)]
    breaches = LoadTimeline(ENGINES, runs, 1.25).breaches
    assert breaches[-1].cause == 'end'
    assert breaches[-1].seconds == pytest.approx(5, abs=0.5)
