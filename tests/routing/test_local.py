import random
from collections import Counter

import pytest

from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routing import Outcome, Placement
from bergamotshed.routing.local import LocalPlacer

from .support import SEED, SERVICE, HomeBench, request

ROUTERS = 4


def local_placer(bench: HomeBench, share: float = 1) -> LocalPlacer:
    return LocalPlacer(
        bench.configuration,
        bench.view,
        bench.clock,
        random.Random(SEED),
        router='r1',
        share=share,
    )


async def test_places_and_releases_in_the_chats_partition() -> None:
    bench = HomeBench(partitions=4)
    placer = local_placer(bench)
    for number in range(40):
        placement_request = request(f'{number}')
        placed = await placer.place(placement_request)
        assert isinstance(placed, Placement)
        assert placed.home == 'r1'
        placer.release(placement_request, placed, Outcome.DONE)
    assert len(placer.homes()) == 4
    assert all(state.grants == 0 for state in placer.states())


async def test_fallback_counts_what_another_home_granted() -> None:
    bench = HomeBench(engines=2, slots=8, load_bound=1, headroom=0)
    placer = local_placer(bench, share=0.25)
    placer.adopt(SERVICE, 0, {'e0': 2})
    for number in range(2):
        placed = await placer.place(request(f'{number}'))
        assert isinstance(placed, Placement)
        assert placed.upstream.name == 'e1'
    placer.adopt(SERVICE, 0, {})
    again = await placer.place(request('again'))
    assert isinstance(again, Placement)
    assert again.upstream.name == 'e0'


@pytest.mark.parametrize('load_bound', [1.1, 1.25, 2])
async def test_routers_that_place_alone_exceed_the_bound_by_one_each(
    load_bound: float,
) -> None:
    bench = HomeBench(engines=3, slots=400, load_bound=load_bound, headroom=0)
    alone = [local_placer(bench, share=0.25) for _ in range(ROUTERS)]
    rng = random.Random(SEED)
    loads: Counter[str] = Counter()
    for number in range(300):
        placement_request = request('hot', request=f'{number}')
        placed = await rng.choice(alone).place(placement_request)
        assert isinstance(placed, Placement)
        loads[placed.upstream.name] += 1
        exact = load_bound * loads.total() / 3
        assert max(loads.values()) <= exact + ROUTERS
    assert max(loads.values()) > 0.9 * exact


async def test_unknown_service_is_refused() -> None:
    bench = HomeBench()
    bench.configuration.advance(1, type(bench.configuration.fleet)())
    refused = await local_placer(bench).place(request())
    assert isinstance(refused, Refusal)
    assert refused.reason is Reason.UNKNOWN_SERVICE
