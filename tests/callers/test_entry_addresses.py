from collections import Counter

import pytest

from bergamotshed.callers.entry_addresses import FleetEntryAddresses
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet
from bergamotshed.routing.types import Upstream
from bergamotshed.routing.view import FleetView, RouterNode


class Routers(FleetView):
    """Routers r0 to r3 with some of them marked."""

    def __init__(self, marks: str) -> None:
        self._marks = marks

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        return ()

    def routers(self) -> tuple[RouterNode, ...]:
        return tuple(
            RouterNode(
                f'r{place}',
                f'127.0.0.{place}:8080',
                '',
                'a',
                leaving=mark == 'l',
                suspect=mark == 's',
            )
            for place, mark in enumerate(self._marks)
        )


def entries_of(marks: str) -> FleetEntryAddresses:
    configuration = ConfigurationInForce()
    configuration.advance(0, Fleet(entries_lifetime=17))
    return FleetEntryAddresses(Routers(marks), configuration)


# marks of the routers ('.' healthy, 'l' leaving, 's' suspect): those given
GIVEN = {'....': 4, 'l...': 3, '.s..': 3, 'ssss': 4, 'slss': 3, 'llll': 4}


@pytest.mark.parametrize('marks', GIVEN)
def test_routers_that_are_given(marks: str) -> None:
    entries = entries_of(marks).addresses_for('caller')
    assert len(entries.addresses) == GIVEN[marks]
    assert entries.lifetime == 17


def test_callers_are_spread_and_each_keeps_its_order() -> None:
    source = entries_of('....')
    first = Counter(
        source.addresses_for(f'caller-{place}').addresses[0]
        for place in range(400)
    )
    assert min(first.values()) > 50
    assert source.addresses_for('x') == source.addresses_for('x')
