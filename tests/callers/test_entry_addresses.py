from collections import Counter

import pytest

from bergamotshed.callers.entry_addresses import FleetEntryAddresses
from bergamotshed.control.types import ConfigurationInForce
from bergamotshed.fleet import Fleet
from bergamotshed.routing.types import Upstream
from bergamotshed.routing.view import FleetView, RouterNode


class MarkedRouters(FleetView):
    """Routers r0 to r3, each in the state that its mark stands for."""

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


def source_for(marks: str) -> FleetEntryAddresses:
    configuration = ConfigurationInForce()
    configuration.advance(0, Fleet(entries_lifetime=17))
    return FleetEntryAddresses(MarkedRouters(marks), configuration)


# marks of the routers ('.' healthy, 'l' leaving, 's' suspect): number of
# addresses
ADDRESS_COUNTS = {
    '....': 4,
    'l...': 3,
    '.s..': 3,
    'ssss': 4,
    'slss': 3,
    'llll': 4,
}


@pytest.mark.parametrize('marks', ADDRESS_COUNTS)
def test_number_of_addresses(marks: str) -> None:
    entry_addresses = source_for(marks).addresses_for('caller')
    assert len(entry_addresses.addresses) == ADDRESS_COUNTS[marks]
    assert entry_addresses.lifetime == 17


def test_callers_are_spread_and_each_has_a_stable_order() -> None:
    source = source_for('....')
    first_addresses = Counter(
        source.addresses_for(f'caller-{place}').addresses[0]
        for place in range(400)
    )
    assert min(first_addresses.values()) > 50
    assert source.addresses_for('x') == source.addresses_for('x')
