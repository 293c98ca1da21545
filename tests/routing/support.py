"""
tests.routing.support
~~~~~~~~~~~~~~~~~~~~~

A small fleet with fixed membership, for tests of routing decisions.
"""

__all__ = ('FixedView', 'HomeBench', 'request', 'routers', 'upstreams')

import random
from datetime import timedelta
from typing import Any

from bergamotshed.clock import ManualClock
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet, Organisation, Service
from bergamotshed.routing import PlacementRequest, Upstream, UpstreamState
from bergamotshed.routing.hashing import stable_hash
from bergamotshed.routing.home import Home
from bergamotshed.routing.view import FleetView, RouterNode

SERVICE = 'drafting'
SEED = 20261203


class FixedView(FleetView):
    """A fleet view that changes only by assignment."""

    def __init__(self, engines: int, router_count: int = 4) -> None:
        self.listed = upstreams(engines)
        self.nodes = routers(router_count)

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        return self.listed if service == SERVICE else ()

    def routers(self) -> tuple[RouterNode, ...]:
        return self.nodes


class HomeBench:
    """A home with its dependencies."""

    def __init__(
        self,
        engines: int = 9,
        organisations: dict[str, float] | None = None,
        **service: Any,
    ) -> None:
        self.clock = ManualClock()
        self.view = FixedView(engines)
        self.configuration = ConfigurationInForce()
        shares = organisations or {'north': 1, 'south': 1}
        self.configuration.advance(
            0,
            Fleet(
                services=(Service(SERVICE, **service),),
                organisations=tuple(
                    Organisation(name, (SERVICE,), share)
                    for name, share in shares.items()
                ),
            ),
        )
        self.home = Home(
            SERVICE,
            self.configuration,
            self.view,
            self.clock,
            random.Random(SEED),
            router='r0',
        )


def upstreams(
    count: int, state: UpstreamState = UpstreamState.LIVE
) -> tuple[Upstream, ...]:
    return tuple(
        Upstream(f'e{number}', SERVICE, f'127.0.0.1:{number}', 'a', state)
        for number in range(count)
    )


def routers(count: int) -> tuple[RouterNode, ...]:
    return tuple(
        RouterNode(f'r{number}', '', '', 'a') for number in range(count)
    )


def request(
    chat: str = 'chat', organisation: str = 'north', **options: Any
) -> PlacementRequest:
    options.setdefault('deadline', timedelta(seconds=60))
    return PlacementRequest(
        request=options.pop('request', f'request-{chat}'),
        service=SERVICE,
        organisation=organisation,
        chat=stable_hash(organisation, chat),
        **options,
    )
