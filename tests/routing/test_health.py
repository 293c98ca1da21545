from collections.abc import Sequence
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.routing.gossip import GossipItem
from bergamotshed.routing.health import UpstreamHealth
from bergamotshed.routing.probing import ProbeSchedule, probers_of
from bergamotshed.routing.types import Outcome, Upstream, UpstreamState

LIVE, SUSPECT, LEAVING = UpstreamState
ALL = [f'e{number}' for number in range(9)]
ROUTERS = [f'r{number}' for number in range(20)]


def hear(
    health: UpstreamHealth,
    suspects: Sequence[str] = (),
    cleared: Sequence[str] = (),
    origin: str = 'r1',
    age_s: float = 0,
) -> None:
    age = timedelta(seconds=age_s)
    health.merge_gossip(
        [GossipItem(name, origin, age) for name in suspects],
        [GossipItem(name, origin, age) for name in cleared],
    )


def engines(count: int, leaving: int = 0) -> list[Upstream]:
    return [
        Upstream(
            f'e{number}', 's', '', 'z', LEAVING if number < leaving else LIVE
        )
        for number in range(count)
    ]


EVIDENCE = [
    pytest.param([Outcome.UNREACHABLE], SUSPECT, id='connect-failure'),
    pytest.param([Outcome.CUT], SUSPECT, id='cut'),
    pytest.param([Outcome.DONE], LIVE, id='success'),
    pytest.param([Outcome.REFUSED], LIVE, id='refusal-is-no-failure'),
    pytest.param([Outcome.CANCELLED], LIVE, id='cancel-says-nothing'),
    pytest.param([Outcome.CUT, Outcome.DONE], LIVE, id='cut-then-success'),
    pytest.param([Outcome.CUT, Outcome.CANCELLED], SUSPECT, id='cut-cancel'),
    pytest.param([Outcome.CUT, Outcome.REFUSED], LIVE, id='cut-then-refusal'),
]


@pytest.mark.parametrize(('outcomes', 'expected'), EVIDENCE)
def test_the_outcomes_of_requests(
    outcomes: list[Outcome], expected: UpstreamState
) -> None:
    health = UpstreamHealth('r0', ManualClock())
    health.track(ALL)
    for outcome in outcomes:
        health.record_outcome('e0', outcome)
    assert health.states(engines(9))[0] is expected


DOUBTS = [
    pytest.param(9, 4, 0, [SUSPECT] * 4 + [LIVE] * 5, id='less-than-half'),
    pytest.param(9, 5, 0, [LIVE] * 9, id='most-on-own-evidence-alone'),
    pytest.param(9, 9, 0, [LIVE] * 9, id='all-on-own-evidence-alone'),
    pytest.param(9, 9, 2, [SUSPECT] * 2 + [LIVE] * 7, id='two-confirmed'),
    pytest.param(3, 3, 3, [SUSPECT] * 3, id='all-confirmed'),
    pytest.param(3, 1, 0, [SUSPECT] + [LIVE] * 2, id='one-of-three'),
]


@pytest.mark.parametrize(('size', 'failed', 'told', 'expected'), DOUBTS)
def test_when_most_seem_dead_the_own_sight_is_in_doubt(
    size: int, failed: int, told: int, expected: list[UpstreamState]
) -> None:
    health = UpstreamHealth('r0', ManualClock())
    health.track(ALL)
    for number in range(failed):
        health.record_outcome(f'e{number}', Outcome.UNREACHABLE)
    hear(health, [f'e{number}' for number in range(told)])
    assert health.states(engines(size)) == expected


def test_leaving_upstreams_stay_leaving() -> None:
    health = UpstreamHealth('r0', ManualClock())
    health.track(ALL)
    health.record_outcome('e0', Outcome.UNREACHABLE)
    assert health.states(engines(3, leaving=1))[0] is LEAVING


WORDS = [
    pytest.param([('r1', 0)], 5.9, SUSPECT, id='fresh'),
    pytest.param([('r1', 0)], 6.1, LIVE, id='too-old'),
    pytest.param([('r1', 5.8)], 0.3, LIVE, id='passed-on-late'),
    pytest.param([('r1', 0), ('r2', 5)], 2, SUSPECT, id='the-newest-counts'),
    pytest.param([('r0', 0)], 0, LIVE, id='own-word-comes-back'),
]


@pytest.mark.parametrize(('words', 'later_s', 'expected'), WORDS)
def test_how_long_a_peers_word_counts(
    words: list[tuple[str, float]], later_s: float, expected: UpstreamState
) -> None:
    clock = ManualClock()
    health = UpstreamHealth('r0', clock)
    health.track(ALL)
    for origin, age in words:
        hear(health, ['e0'], origin=origin, age_s=age)
    clock.advance(timedelta(seconds=later_s))
    health.expire()
    assert health.states(engines(9))[0] is expected


CLEARINGS = [
    pytest.param(1, 1, 0, LIVE, id='cleared-after-all'),
    pytest.param(0, 2, 1, SUSPECT, id='cleared-before-the-failure'),
    pytest.param(2, 0.5, 1, SUSPECT, id='suspected-after-the-clearing'),
    pytest.param(2, 2.5, 1, LIVE, id='suspected-before-the-clearing'),
]


@pytest.mark.parametrize(('after', 'word', 'age', 'expected'), CLEARINGS)
def test_a_peer_that_reached_a_suspect_clears_it(
    after: float, word: float, age: float, expected: UpstreamState
) -> None:
    clock = ManualClock()
    health = UpstreamHealth('r0', clock)
    health.track(ALL)
    clock.advance(timedelta(seconds=10))
    health.record_outcome('e0', Outcome.CUT)
    clock.advance(timedelta(seconds=after))
    hear(health, ['e0'], origin='r2', age_s=word)
    hear(health, cleared=['e0'], age_s=age)
    assert health.states(engines(9))[0] is expected


def test_a_few_routers_probe_a_suspect() -> None:
    suspects = [f'e{number}' for number in range(40)]
    probed = dict.fromkeys(suspects, 0)
    clock = ManualClock()
    for router in ROUTERS:
        health = UpstreamHealth(router, clock)
        health.track(suspects)
        hear(health, suspects, origin='elsewhere')
        for name in ProbeSchedule(router, health, clock).due(ROUTERS):
            probed[name] += 1
    assert set(probed.values()) == {3}


def test_probes_back_off_and_start_anew_with_a_new_suspicion() -> None:
    clock = ManualClock()
    health = UpstreamHealth('r0', clock)
    health.track(ALL)
    schedule = ProbeSchedule('r0', health, clock)
    health.record_outcome('e0', Outcome.CUT)
    gaps, last = [], 0.0
    for _ in range(120):
        if schedule.due(['r0']):
            gaps.append(round(clock.monotonic() - last, 2))
            last = clock.monotonic()
        clock.advance(timedelta(milliseconds=50))
    assert gaps == [0, 0.25, 0.5, 1, 2, 2]
    health.record_outcome('e0', Outcome.DONE)
    assert schedule.due(['r0']) == []
    health.record_outcome('e0', Outcome.CUT)
    assert schedule.due(['r0']) == ['e0']


def test_who_probes_depends_on_the_upstream_alone() -> None:
    chosen = {tuple(probers_of(f'e{n}', ROUTERS)) for n in range(50)}
    assert len(chosen) > 10
    assert probers_of('e1', ROUTERS[::-1]) == probers_of('e1', ROUTERS)
