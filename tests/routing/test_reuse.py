import pytest
from tools.measure.routes import (
    SERVICE,
    AllSeeing,
    HomeRoute,
    LocalView,
    Route,
)
from tools.measure.runs import RECIPE, Run, run
from tools.measure.simulation import Change, Figures

from bergamotshed.fleet import Service
from bergamotshed.routing import UpstreamState

MIN_REUSE_SHARE = 0.95
WARM_UP_S = 50
SECONDS = 40
LIVE, SUSPECT = UpstreamState.LIVE, UpstreamState.SUSPECT
CHANGES = {
    'join': (Change(55, 'e6', LIVE),),
    'leave': (Change(55, 'e5', UpstreamState.LEAVING),),
    'flap': tuple(
        Change(55 + 4 * turn, 'e5', state)
        for turn, state in enumerate((SUSPECT, LIVE) * 3)
    ),
}


def figures(
    change: str, route: type[Route], policy: str = 'remembered'
) -> Figures:
    return run(
        Run(
            RECIPE,
            Service(SERVICE, policy=policy),
            route,
            CHANGES[change],
            warm_up=WARM_UP_S,
            seconds=SECONDS,
        )
    )


@pytest.mark.parametrize('change', CHANGES)
def test_home_reuses_caches_like_an_all_seeing_router(change: str) -> None:
    ceiling = figures(change, AllSeeing).token_share
    home = figures(change, HomeRoute).token_share
    bounded = figures(change, HomeRoute, 'bounded').token_share
    assert home >= MIN_REUSE_SHARE * ceiling
    assert home > bounded


def test_routers_that_know_only_their_own_requests_reuse_less() -> None:
    ceiling = figures('join', AllSeeing).token_share
    assert figures('join', LocalView).token_share < MIN_REUSE_SHARE * ceiling
