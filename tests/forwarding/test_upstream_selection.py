"""Choosing an upstream whose limit allows a request."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.forwarding.upstream_selection import UpstreamSelector
from bergamotshed.routing.affinity import PlacedUpstream, load_bound
from bergamotshed.routing.types import LoadGrant, Outcome
from bergamotshed.routing.upstream_loads import UpstreamLoads
from bergamotshed.upstreams.types import Instance

UPSTREAM = Instance('u', 's', 'u:1', 'a', 8, born=1)


class Bench:
    """A selector whose placer always offers one reserved slot."""

    def __init__(self) -> None:
        self.released: list[Outcome] = []
        self.is_asked = asyncio.Event()
        dependencies: Any = SimpleNamespace(
            rates=SimpleNamespace(acquire=self.ask_without_answer),
            slots=SimpleNamespace(
                release=lambda _slot, outcome: self.released.append(outcome)
            ),
        )
        self.selector = UpstreamSelector(dependencies)
        self.attempts: Any = SimpleNamespace(
            watch=SimpleNamespace(admits=lambda: True)
        )

    async def place(self, _attempts: object) -> PlacedUpstream:
        slot: Any = object()
        return PlacedUpstream(UPSTREAM, True, 0, slot=slot)

    async def ask_without_answer(
        self, _instance: Instance, _max_wait: timedelta
    ) -> bool:
        self.is_asked.set()
        await asyncio.sleep(30)
        return True


async def test_a_caller_who_leaves_while_a_limit_is_asked_for_frees_its_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = Bench()
    monkeypatch.setattr(bench.selector, '_choose_unblocked', bench.place)
    choosing = asyncio.ensure_future(bench.selector.choose(bench.attempts))
    await bench.is_asked.wait()
    choosing.cancel()
    with pytest.raises(asyncio.CancelledError):
        await choosing
    assert bench.released == [Outcome.CANCELLED]


class CrowdedBench:
    """A selector before upstreams whose homes have counted requests.

    :ivar counts: requests on each upstream
    :ivar released: numbers of the grants that were given back
    """

    def __init__(self, *counts: int) -> None:
        self.loads = UpstreamLoads(ManualClock())
        self.instances = [
            Instance(f'u{number}', 's', f'u:{number}', 'a', 8, born=1)
            for number in range(len(counts))
        ]
        self.counts = dict(zip(self.instances, counts, strict=True))
        self.asked: list[Instance] = []
        self.released: list[int] = []
        self.is_permitted = True
        dependencies: Any = SimpleNamespace(
            loads=self.loads,
            load_bounds=self,
            rates=SimpleNamespace(acquire=self.permit),
        )
        self.selector = UpstreamSelector(dependencies)

    async def choose(self) -> PlacedUpstream:
        attempts: Any = SimpleNamespace(
            watch=SimpleNamespace(admits=lambda: True),
            time_remaining=timedelta(seconds=1),
        )
        placed = await self.selector.choose(attempts)
        assert isinstance(placed, PlacedUpstream)
        return placed

    async def place(self, _attempts: object) -> PlacedUpstream:
        """Place at the first upstream that is not known to be crowded."""
        suitable = [
            instance
            for instance in self.instances
            if not self.loads.is_crowded(instance)
        ]
        chosen = (suitable or self.instances)[0]
        return PlacedUpstream(chosen, True, 0, mean_load=1)

    async def acquire(
        self, instance: Instance, bound: float, _lifetime: timedelta
    ) -> LoadGrant:
        self.asked.append(instance)
        count = self.counts[instance]
        return LoadGrant(len(self.asked) if count <= bound else 0, count)

    def release(self, grant: LoadGrant) -> None:
        self.released.append(grant.number)

    async def permit(self, _instance: Instance, _max_wait: timedelta) -> bool:
        was_permitted, self.is_permitted = self.is_permitted, True
        return was_permitted


CROWDED = int(load_bound(1)) + 1


@pytest.mark.parametrize(
    ('counts', 'chosen', 'asked'),
    [
        ((0, 0), 0, [0]),
        ((CROWDED, 0), 1, [0, 1]),
        ((CROWDED, CROWDED, CROWDED - 1), 2, [0, 1, 2]),
        ((CROWDED, CROWDED), 0, [0, 1, 0]),
        ((CROWDED,) * 9, 6, list(range(7))),
    ],
)
async def test_a_request_avoids_upstreams_above_the_load_bound(
    monkeypatch: pytest.MonkeyPatch,
    counts: tuple[int, ...],
    chosen: int,
    asked: list[int],
) -> None:
    bench = CrowdedBench(*counts)
    monkeypatch.setattr(bench.selector, '_choose_unblocked', bench.place)
    placed = await bench.choose()
    assert placed.instance == bench.instances[chosen]
    assert bench.asked == [bench.instances[number] for number in asked]
    bench.selector.release(placed, None)
    assert bench.released == [len(asked)]


async def test_a_grant_is_given_back_if_the_rate_limit_forbids_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = CrowdedBench(0)
    bench.is_permitted = False
    monkeypatch.setattr(bench.selector, '_choose_unblocked', bench.place)
    placed = await bench.choose()
    assert bench.released == [1]
    assert placed.grant is not None
    assert placed.grant.number == 2
