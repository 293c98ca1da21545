"""Choosing an upstream whose limit allows a request."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest

from bergamotshed.forwarding.upstream_selection import UpstreamSelector
from bergamotshed.routing.affinity import PlacedUpstream
from bergamotshed.routing.types import Outcome
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
