"""The requests that other routers have on an upstream, as they say."""

from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.routing.peer_loads import LIFETIME, PeerLoads
from bergamotshed.routing.upstream_loads import MAX_OWN_LOADS, UpstreamLoads
from bergamotshed.upstreams.types import ReportedLoad
from tests.routing.test_affinity import instance


def test_the_newest_counts_of_all_routers_are_added() -> None:
    loads = PeerLoads(ManualClock())
    loads.record('a', ((1, 2), (2, 1)))
    loads.record('b', ((1, 3),))
    assert (loads.total(1), loads.total(2), loads.total(3)) == (5, 1, 0)
    loads.record('a', ((1, 1),))
    assert (loads.total(1), loads.total(2)) == (4, 0)


def test_the_counts_of_a_silent_router_end() -> None:
    clock = ManualClock()
    loads = PeerLoads(clock)
    loads.record('a', ((1, 2),))
    clock.advance(LIFETIME / 2)
    loads.record('b', ((1, 3),))
    clock.advance(LIFETIME / 2 + timedelta(milliseconds=1))
    assert loads.total(1) == 3


def test_the_larger_of_a_report_and_the_routers_counts_is_believed() -> None:
    loads = UpstreamLoads(ManualClock())
    upstream = instance('e1')
    loads.record_start(upstream)
    ((key, count),) = loads.own
    assert count == 1
    loads.peers.record('a', ((key, 4),))
    assert loads.estimate_load(upstream) == 5
    loads.record_report(upstream, ReportedLoad(7, 2, 8))
    assert loads.estimate_load(upstream) == 9


def test_routers_name_an_upstream_alike() -> None:
    first, second = (UpstreamLoads(ManualClock()) for _ in range(2))
    upstream = instance('e1')
    for loads in (first, second):
        loads.record_start(upstream)
    assert first.own == second.own


def test_a_router_names_the_upstreams_with_most_of_its_requests() -> None:
    loads = UpstreamLoads(ManualClock())
    for number in range(2 * MAX_OWN_LOADS):
        for _ in range(1 + (number < MAX_OWN_LOADS)):
            loads.record_start(instance(f'e{number}'))
    assert [count for _, count in loads.own] == [2] * MAX_OWN_LOADS
