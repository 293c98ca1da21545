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


def merge_gossip(
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


@pytest.mark.parametrize(('size', 'failed', 'reported', 'expected'), DOUBTS)
def test_own_evidence_is_in_doubt_when_most_are_suspect(
    size: int, failed: int, reported: int, expected: list[UpstreamState]
) -> None:
    health = UpstreamHealth('r0', ManualClock())
    health.track(ALL)
    for number in range(failed):
        health.record_outcome(f'e{number}', Outcome.UNREACHABLE)
    merge_gossip(health, [f'e{number}' for number in range(reported)])
    assert health.states(engines(size)) == expected


def test_leaving_upstreams_stay_leaving() -> None:
    health = UpstreamHealth('r0', ManualClock())
    health.track(ALL)
    health.record_outcome('e0', Outcome.UNREACHABLE)
    assert health.states(engines(3, leaving=1))[0] is LEAVING


REPORTS = [
    pytest.param([('r1', 0)], 5.9, SUSPECT, id='fresh'),
    pytest.param([('r1', 0)], 6.1, LIVE, id='too-old'),
    pytest.param([('r1', 5.8)], 0.3, LIVE, id='relayed-late'),
    pytest.param([('r1', 0), ('r2', 5)], 2, SUSPECT, id='the-newest-counts'),
    pytest.param([('r0', 0)], 0, LIVE, id='own-report-comes-back'),
]


@pytest.mark.parametrize(('reports', 'later_s', 'expected'), REPORTS)
def test_how_long_a_peers_report_counts(
    reports: list[tuple[str, float]], later_s: float, expected: UpstreamState
) -> None:
    clock = ManualClock()
    health = UpstreamHealth('r0', clock)
    health.track(ALL)
    for origin, age in reports:
        merge_gossip(health, ['e0'], origin=origin, age_s=age)
    clock.advance(timedelta(seconds=later_s))
    health.expire()
    assert health.states(engines(9))[0] is expected


CLEARINGS = [
    pytest.param(1, 1, 0, LIVE, id='cleared-after-the-failure'),
    pytest.param(0, 2, 1, SUSPECT, id='cleared-before-the-failure'),
    pytest.param(2, 0.5, 1, SUSPECT, id='suspected-after-the-clearing'),
    pytest.param(2, 2.5, 1, LIVE, id='suspected-before-the-clearing'),
]


@pytest.mark.parametrize(
    ('after_s', 'suspected_age_s', 'cleared_age_s', 'expected'), CLEARINGS
)
def test_a_peer_that_reached_a_suspect_clears_it(
    after_s: float,
    suspected_age_s: float,
    cleared_age_s: float,
    expected: UpstreamState,
) -> None:
    clock = ManualClock()
    health = UpstreamHealth('r0', clock)
    health.track(ALL)
    clock.advance(timedelta(seconds=10))
    health.record_outcome('e0', Outcome.CUT)
    clock.advance(timedelta(seconds=after_s))
    merge_gossip(health, ['e0'], origin='r2', age_s=suspected_age_s)
    merge_gossip(health, cleared=['e0'], age_s=cleared_age_s)
    assert health.states(engines(9))[0] is expected


def test_a_few_routers_probe_a_suspect() -> None:
    suspects = [f'e{number}' for number in range(40)]
    probe_counts = dict.fromkeys(suspects, 0)
    clock = ManualClock()
    for router in ROUTERS:
        health = UpstreamHealth(router, clock)
        health.track(suspects)
        merge_gossip(health, suspects, origin='elsewhere')
        for name in ProbeSchedule(router, health, clock).due(ROUTERS):
            probe_counts[name] += 1
    assert set(probe_counts.values()) == {3}


def test_probes_back_off_and_restart_with_a_new_suspicion() -> None:
    clock = ManualClock()
    health = UpstreamHealth('r0', clock)
    health.track(ALL)
    schedule = ProbeSchedule('r0', health, clock)
    health.record_outcome('e0', Outcome.CUT)
    gaps, last_probe_at = [], 0.0
    for _ in range(120):
        if schedule.due(['r0']):
            gaps.append(round(clock.monotonic() - last_probe_at, 2))
            last_probe_at = clock.monotonic()
        clock.advance(timedelta(milliseconds=50))
    assert gaps == [0, 0.25, 0.5, 1, 2, 2]
    health.record_outcome('e0', Outcome.DONE)
    assert schedule.due(['r0']) == []
    health.record_outcome('e0', Outcome.CUT)
    assert schedule.due(['r0']) == ['e0']


def test_the_probers_depend_only_on_the_upstream() -> None:
    prober_sets = {tuple(probers_of(f'e{n}', ROUTERS)) for n in range(50)}
    assert len(prober_sets) > 10
    assert probers_of('e1', ROUTERS[::-1]) == probers_of('e1', ROUTERS)
