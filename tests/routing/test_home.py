import asyncio
from datetime import timedelta

from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routing import Outcome, Placement, PlacementRequest
from bergamotshed.routing.bound import capacity

from .support import HomeBench, request, upstreams


async def place(
    bench: HomeBench, placement_request: PlacementRequest
) -> Placement:
    placed = await bench.home.place('r1', placement_request)
    assert isinstance(placed, Placement)
    return placed


def release(
    bench: HomeBench,
    placement_request: PlacementRequest,
    placed: Placement,
    outcome: Outcome = Outcome.DONE,
) -> None:
    bench.home.release(
        'r1',
        placed.grant,
        placement_request.chat,
        outcome,
        0,
        placed.upstream.name,
    )


async def test_returning_chat_follows_its_history() -> None:
    bench = HomeBench()
    placement_request = request(history=500)
    first = await place(bench, placement_request)
    release(bench, placement_request, first)
    second = await place(bench, placement_request)
    assert second.upstream == first.upstream
    assert second.first_choice


async def test_bound_holds_at_each_placement() -> None:
    bench = HomeBench(engines=3, load_bound=1.25)
    for number in range(30):
        await place(bench, request('same', request=f'request-{number}'))
        counts = bench.home.state().in_flight.values()
        assert max(counts) <= capacity(1.25, number + 1, 3)


async def test_waiting_place_gets_the_freed_slot() -> None:
    bench = HomeBench(engines=1, slots=1)
    placement_request = request('first')
    first = await place(bench, placement_request)
    waiting = asyncio.create_task(place(bench, request('second')))
    await asyncio.sleep(0)
    assert bench.home.state().waiting == {'north': 1}
    release(bench, placement_request, first)
    second = await waiting
    assert second.grant > first.grant
    assert bench.home.state().in_flight == {'e0': 1}


async def test_cancelled_place_releases_everything() -> None:
    bench = HomeBench(engines=1, slots=1)
    placement_request = request('first')
    first = await place(bench, placement_request)
    waiting = asyncio.create_task(place(bench, request('second')))
    granted = asyncio.create_task(place(bench, request('third')))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.wait((waiting,))
    release(bench, placement_request, first)
    granted.cancel()
    await asyncio.wait((granted,))
    state = bench.home.state()
    assert (state.waiting, state.grants) == ({}, 0)
    assert state.in_flight == {'e0': 0}


async def test_repeated_release_frees_one_reservation() -> None:
    bench = HomeBench(engines=1)
    placement_request = request('first')
    first = await place(bench, placement_request)
    await place(bench, request('second'))
    release(bench, placement_request, first)
    release(bench, placement_request, first)
    assert bench.home.state().in_flight == {'e0': 1}


async def test_one_suspect_at_a_time_on_an_upstream() -> None:
    bench = HomeBench(engines=2)
    placed = [await place(bench, request(name, suspect=True)) for name in 'ab']
    assert {place.upstream.name for place in placed} == {'e0', 'e1'}
    third = asyncio.create_task(place(bench, request('c', suspect=True)))
    await asyncio.sleep(0)
    assert bench.home.state().waiting == {'north': 1}
    release(bench, request('a'), placed[0], Outcome.CUT)
    assert (await third).upstream == placed[0].upstream


async def test_no_suspect_is_placed_on_an_upstream_that_was_just_cut() -> None:
    bench = HomeBench(engines=2)
    first, second, third = (
        request(name, suspect=True, fingerprint=number)
        for number, name in enumerate('abc', 1)
    )
    cut = await place(bench, first)
    other = await place(bench, second)
    release(bench, first, cut, Outcome.CUT)
    waiting = asyncio.create_task(place(bench, third))
    await asyncio.sleep(0)
    assert bench.home.state().waiting == {'north': 1}
    release(bench, second, other)
    assert (await waiting).upstream == other.upstream
    fresh = request('d', fingerprint=4)
    assert (await place(bench, fresh)).upstream == cut.upstream


async def test_refusals() -> None:
    bench = HomeBench(engines=2)
    bench.view.listed = ()
    refused = await bench.home.place('r1', request())
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.NO_ENGINE
    assert refused.retry_after
    bench.view.listed = upstreams(2)
    late = await bench.home.place('r1', request(deadline=timedelta(0)))
    assert isinstance(late, Refusal)
    assert late.reason is Reason.DEADLINE


async def test_explains_a_decision() -> None:
    bench = HomeBench(engines=2)
    placed = await place(bench, request(request='r-1'))
    (decision,) = bench.home.explain('r-1')
    assert decision.upstream == placed.upstream.name
    assert decision.reason == 'rendezvous'
    assert decision.counts == {'e0': 0, 'e1': 0}
    assert decision.bound == 1
