"""The room that a home grants at brittle upstreams."""

from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.routing.brittle import (
    NOTICE_LIFETIME,
    WARM_UP,
    WINDOW,
    BrittleUpstreams,
    UpstreamRooms,
    max_in_flight,
)
from bergamotshed.upstreams.types import Instance

SLOTS = 20
TOLERANCE = 6
INSTANCE = Instance('i', 's', '', 'a', SLOTS, born=1)
SECOND = timedelta(seconds=1)


def warm_rooms() -> tuple[UpstreamRooms, ManualClock]:
    clock = ManualClock()
    rooms = UpstreamRooms(clock)
    clock.advance(WARM_UP)
    return rooms, clock


def test_a_sound_upstream_gets_more_than_its_slots() -> None:
    rooms, _ = warm_rooms()
    assert rooms.capacity(INSTANCE, None, 1) == max_in_flight(SLOTS) > SLOTS


def test_a_brittle_upstream_gets_no_more_than_its_slots() -> None:
    rooms, _ = warm_rooms()
    assert rooms.capacity(INSTANCE, TOLERANCE, 1) == SLOTS


def test_a_new_home_starts_with_a_part_of_the_room() -> None:
    rooms = UpstreamRooms(ManualClock())
    assert rooms.capacity(INSTANCE, TOLERANCE, 1) == SLOTS // 2


def test_homes_that_cannot_hear_each_other_share_the_room() -> None:
    rooms, _ = warm_rooms()
    shares = [
        rooms.capacity(INSTANCE, TOLERANCE, share) for share in (0.25, 0.75)
    ]
    assert sum(shares) <= SLOTS


def test_a_rejection_shows_the_room_which_is_regained_slowly() -> None:
    rooms, clock = warm_rooms()
    rooms.record_rejection('i', 8)
    assert rooms.capacity(INSTANCE, TOLERANCE, 1) == 8
    clock.advance(3 * SECOND)
    assert 8 < rooms.capacity(INSTANCE, TOLERANCE, 1) < SLOTS
    clock.advance(30 * SECOND)
    assert rooms.capacity(INSTANCE, TOLERANCE, 1) == SLOTS


@pytest.mark.parametrize('tolerance', [0, 1, 2, 3, 6, 20])
def test_no_more_is_sent_well_before_the_rejections_that_it_bears(
    tolerance: int,
) -> None:
    rooms, clock = warm_rooms()
    count = 0
    while rooms.capacity(INSTANCE, tolerance, 1):
        rooms.record_rejection('i', 8)
        count += 1
    assert count <= max(1, tolerance)
    clock.advance(WINDOW + SECOND / 10)
    assert rooms.capacity(INSTANCE, tolerance, 1)


def test_a_notice_counts_for_the_service_until_it_ends() -> None:
    clock = ManualClock()
    brittle = BrittleUpstreams(clock)
    assert brittle.record_answer(INSTANCE, TOLERANCE)
    assert not brittle.record_answer(INSTANCE, TOLERANCE)
    assert brittle.tolerance_of('s') == TOLERANCE
    assert brittle.tolerance_of('other') is None
    assert brittle.record_answer(INSTANCE, None)
    assert brittle.tolerance_of('s') is None


def test_a_notice_of_an_upstream_that_falls_silent_expires() -> None:
    clock = ManualClock()
    brittle = BrittleUpstreams(clock)
    brittle.record_answer(INSTANCE, TOLERANCE)
    clock.advance(NOTICE_LIFETIME)
    assert brittle.tolerance_of('s') is None
    assert not brittle.services
