from datetime import timedelta

import pytest
from msgspec.structs import replace

from bergamotshed.clock import ManualClock
from bergamotshed.roster.roster import Roster
from bergamotshed.roster.types import RosterEntry, encode_entry
from bergamotshed.store.health import RETURN_WINDOW, StoreHealth
from bergamotshed.store.types import Entry

OWN = RosterEntry('own', '10.0.0.1:1', '10.0.0.1:2', 'a', started=1)
PEER = RosterEntry('peer', '10.0.0.2:1', '10.0.0.2:2', 'a', started=1)


def listed(*entries: RosterEntry) -> list[Entry]:
    return [Entry(entry.name, encode_entry(entry)) for entry in entries]


class Setup:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.health = StoreHealth(self.clock)
        self.roster = Roster(OWN, self.health, self.clock)
        self.own_listed: list[RosterEntry | None] = []
        self.roster.watch_own(self.own_listed.append)
        self.clock.advance(timedelta(seconds=60))
        self.health.record_era(1)

    def list(self, era: int, *entries: RosterEntry) -> None:
        self.health.record_era(era)
        self.roster.replace_entries(listed(*entries), 0)

    @property
    def names(self) -> set[str]:
        return {entry.name for entry in self.roster.entries}


def test_a_router_that_is_not_listed_any_more_is_gone() -> None:
    setup = Setup()
    setup.list(1, OWN, PEER)
    assert setup.names == {'own', 'peer'}
    setup.list(1, OWN)
    assert setup.names == {'own'}


def test_a_router_whose_entry_was_lost_stays_for_a_while() -> None:
    setup = Setup()
    setup.list(1, OWN, PEER)
    setup.list(2, OWN)
    assert setup.names == {'own', 'peer'}
    setup.clock.advance(RETURN_WINDOW)
    assert setup.names == {'own'}


def test_a_router_that_rewrote_its_lost_entry_stays() -> None:
    setup = Setup()
    setup.list(1, OWN, PEER)
    setup.list(2, OWN)
    setup.roster.apply_changes(listed(PEER), 0)
    setup.clock.advance(RETURN_WINDOW)
    assert setup.names == {'own', 'peer'}


def test_a_router_whose_leaving_was_lost_does_not_come_back() -> None:
    setup = Setup()
    setup.list(1, OWN, replace(PEER, leaving=True))
    setup.list(2, OWN, PEER)
    assert [entry.leaving for entry in setup.roster.others] == [True]
    restarted = replace(PEER, started=2)
    setup.roster.apply_changes(listed(restarted), 0)
    assert setup.roster.others == (restarted,)


@pytest.mark.parametrize('entry', [None, OWN, replace(OWN, started=0)])
def test_each_listing_tells_what_it_has_of_this_router(
    entry: RosterEntry | None,
) -> None:
    setup = Setup()
    setup.list(2, PEER, *(() if entry is None else (entry,)))
    assert setup.own_listed == [entry]
