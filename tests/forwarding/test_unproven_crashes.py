"""What is found out later of upstreams that could not be connected to while no
other could.
"""

from collections.abc import Iterator
from datetime import timedelta

import pytest
from eliot import add_destinations, remove_destination

from bergamotshed.clock import ManualClock
from bergamotshed.forwarding.control_probes import ControlProbes
from bergamotshed.forwarding.unproven_crashes import (
    CHECK_INTERVAL,
    MAX_AGE,
    MIN_SILENCE,
    CutAnswer,
    UnprovenCrashes,
)
from bergamotshed.upstreams.liveness import LivenessChecks
from bergamotshed.upstreams.types import UpstreamNotReached
from tests.upstreams.test_registry import RegistryFixture

ADDRESS = '10.0.0.1:80'
OTHER = '10.0.0.2:80'
LATENCY = timedelta(milliseconds=1)


class Way:
    """The way to the upstreams, in place of the connection pool."""

    def __init__(self, clock: ManualClock) -> None:
        self.reachable: set[str] = set()
        self._clock = clock
        self.probed: list[str] = []

    async def probe(self, address: str) -> None:
        self.probed.append(address)
        self._clock.advance(LATENCY)
        if address not in self.reachable:
            raise UpstreamNotReached(address)


class Scene:
    """An upstream whose answer broke off, and another one."""

    def __init__(self, *, has_other: bool = True) -> None:
        self.fixture = RegistryFixture()
        self.way = Way(self.clock)
        self.crashes: list[str] = []
        self.fixture.report('e1', address=ADDRESS)
        if has_other:
            self.fixture.report('e2', address=OTHER)
        registry = self.fixture.registry
        checks = LivenessChecks(self.way, self.clock)  # type: ignore[arg-type]
        self.unproven = UnprovenCrashes(
            registry, ControlProbes(registry, checks), self.clock
        )
        upstream = registry.instances['e1']
        self.unproven.add(
            CutAnswer(
                upstream,
                self.clock.boottime(),
                lambda: self.crashes.append(upstream.name),
            )
        )

    @property
    def clock(self) -> ManualClock:
        return self.fixture.clock

    def pass_time(self, duration: timedelta) -> None:
        """Let time pass, at the end of which the list is read."""
        self.clock.advance(duration)
        self.fixture.registry.apply_changes([], self.clock.boottime())

    async def check(self) -> list[str]:
        self.clock.advance(CHECK_INTERVAL)
        await self.unproven.check()
        return self.crashes


@pytest.fixture
def logged() -> Iterator[list[str]]:
    reasons: list[str] = []

    def record(message: dict[str, str]) -> None:
        reasons.append(message.get('reason', ''))

    add_destinations(record)
    yield reasons
    remove_destination(record)


@pytest.mark.parametrize('has_other', [True, False])
@pytest.mark.parametrize(
    ('name', 'fields'),
    [
        ('e1', {'born': 2000}),
        ('e3', {'born': 2000}),
    ],
    ids=['same name', 'new name'],
)
async def test_an_upstream_that_starts_anew_had_crashed(
    name: str, fields: dict[str, int], has_other: bool
) -> None:
    scene = Scene(has_other=has_other)
    assert not await scene.check()
    scene.fixture.report(name, address=ADDRESS, **fields)
    assert await scene.check() == ['e1']
    assert await scene.check() == ['e1']


async def test_one_that_stays_away_when_another_is_back_had_crashed() -> None:
    scene = Scene()
    assert not await scene.check()
    scene.way.reachable.add(OTHER)
    scene.pass_time(MIN_SILENCE)
    assert await scene.check() == ['e1']


async def test_ways_that_come_back_one_by_one_show_no_crash() -> None:
    scene = Scene()
    scene.way.reachable.add(OTHER)
    assert not await scene.check()
    # The list may be older than the upstream's reports.
    scene.clock.advance(MIN_SILENCE)
    assert not await scene.check()
    scene.fixture.report('e1', address=ADDRESS, sequence=2)
    scene.pass_time(MIN_SILENCE)
    assert not await scene.check()
    scene.way.reachable.add(ADDRESS)
    scene.pass_time(MIN_SILENCE)
    assert not await scene.check()


async def test_the_other_one_is_connected_to_first() -> None:
    # A way that comes back between the two would look like a crash.
    scene = Scene()
    scene.way.reachable.add(OTHER)
    scene.pass_time(MIN_SILENCE)
    await scene.check()
    assert scene.way.probed[-1] == ADDRESS


@pytest.mark.parametrize('has_other', [True, False])
async def test_an_upstream_that_a_cut_hid_has_not_crashed(
    has_other: bool, logged: list[str]
) -> None:
    scene = Scene(has_other=has_other)
    assert not await scene.check()
    scene.way.reachable |= {ADDRESS, OTHER}
    assert not await scene.check()
    scene.fixture.report('e1', address=ADDRESS, sequence=3)
    assert not await scene.check()
    assert 'the upstream has reported since' in logged
    # It may start anew later for other reasons.
    scene.fixture.report('e1', address=ADDRESS, born=2000)
    assert not await scene.check()


async def test_an_upstream_that_leaves_has_not_crashed() -> None:
    scene = Scene()
    scene.fixture.report('e1', address=ADDRESS, state='draining', sequence=2)
    scene.way.reachable.add(OTHER)
    scene.pass_time(MIN_SILENCE)
    assert not await scene.check()


async def test_an_upstream_that_is_not_listed_any_more_may_have_left() -> None:
    scene = Scene()
    scene.fixture.clock.advance(timedelta(seconds=5))
    scene.fixture.remove('e1')
    assert 'e1' not in scene.fixture.registry.instances
    scene.way.reachable.add(OTHER)
    assert not await scene.check()
    scene.fixture.report('e3', address=ADDRESS, born=2000)
    assert await scene.check() == ['e1']


async def test_what_is_never_shown_is_dropped(logged: list[str]) -> None:
    scene = Scene()
    scene.clock.advance(MAX_AGE)
    assert not await scene.check()
    assert 'nothing has shown a crash' in logged
    scene.way.reachable.add(OTHER)
    assert not await scene.check()
