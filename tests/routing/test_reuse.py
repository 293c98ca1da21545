import pytest
from tools.measure.runs import RECIPE, RunOptions, run_simulation
from tools.measure.simulation import EngineChange, SimulationResult
from tools.measure.strategies import (
    SERVICE,
    GlobalViewStrategy,
    HomeStrategy,
    LocalViewStrategy,
    PlacementStrategy,
)

from bergamotshed.fleet import Service
from bergamotshed.routing import UpstreamState

MIN_REUSE_SHARE = 0.95
WARM_UP_S = 50
SECONDS = 40
LIVE, SUSPECT = UpstreamState.LIVE, UpstreamState.SUSPECT
CHANGES = {
    'join': (EngineChange(55, 'e6', LIVE),),
    'leave': (EngineChange(55, 'e5', UpstreamState.LEAVING),),
    'flap': tuple(
        EngineChange(55 + 4 * turn, 'e5', state)
        for turn, state in enumerate((SUSPECT, LIVE) * 3)
    ),
}


def simulate(
    change: str, strategy: type[PlacementStrategy], policy: str = 'remembered'
) -> SimulationResult:
    return run_simulation(
        RunOptions(
            RECIPE,
            Service(SERVICE, policy=policy),
            strategy,
            CHANGES[change],
            warm_up_s=WARM_UP_S,
            duration_s=SECONDS,
        )
    )


@pytest.mark.parametrize('change', CHANGES)
def test_home_reuses_caches_like_a_global_view(change: str) -> None:
    ceiling = simulate(change, GlobalViewStrategy).token_share
    home = simulate(change, HomeStrategy).token_share
    bounded = simulate(change, HomeStrategy, 'bounded').token_share
    assert home >= MIN_REUSE_SHARE * ceiling
    assert home > bounded


def test_routers_that_know_only_their_own_requests_reuse_less() -> None:
    ceiling = simulate('join', GlobalViewStrategy).token_share
    assert (
        simulate('join', LocalViewStrategy).token_share
        < MIN_REUSE_SHARE * ceiling
    )
