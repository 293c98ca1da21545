"""Crashes that a poison request causes while harmless ones run beside it, as
two routers record them.
"""

import random
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshed.clock import ManualClock
from bergamotshed.routing.attribution import attribute_crashes
from bergamotshed.routing.crashes import MAX_CRASHES
from bergamotshed.routing.fingerprint_holds import MAX_HOLD_DURATION
from bergamotshed.routing.quarantine import (
    MAX_ANSWERED,
    Crash,
    CrashReport,
    FingerprintStatus,
    Quarantine,
)

POISON = 0
TTL = timedelta(minutes=1)
HARMLESS = st.sets(st.integers(1, 12), max_size=6)


class OnePoison(RuleBasedStateMachine):
    """Routers that run new requests together and each suspect on its own."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.routers = [Quarantine(self.clock, ttl=TTL) for _ in range(2)]
        for router in self.routers:
            router.add_listener(self.share)
        self.crashes = 0

    def share(self, report: CrashReport) -> None:
        for router in self.routers:
            router.merge((report,))

    @rule(beside=HARMLESS, at=st.integers(0, 1))
    def run_poison(self, beside: set[int], at: int) -> None:
        router = self.routers[at]
        if router.status(POISON) is FingerprintStatus.QUARANTINED:
            return
        beside = {
            fingerprint
            for fingerprint in beside
            if router.status(fingerprint) is FingerprintStatus.CLEAR
        }
        self.crashes += 1
        now = self.clock.monotonic()
        crash = Crash('e0', str(self.crashes))
        for fingerprint in (POISON, *beside):
            router.record_crash(fingerprint, crash, now, now)

    @rule()
    def pass_time(self) -> None:
        self.clock.advance(timedelta(seconds=1))

    @invariant()
    def routers_agree(self) -> None:
        assert self.routers[0].quarantined == self.routers[1].quarantined

    @invariant()
    def only_the_poison_is_quarantined(self) -> None:
        assert self.routers[0].quarantined <= {POISON}

    @invariant()
    def it_stops_after_two_crashes(self) -> None:
        assert self.crashes <= 2


OnePoison.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
TestOnePoison = OnePoison.TestCase

# name: (fingerprints in flight at each crash, quarantined ones)
ATTRIBUTED: dict[str, tuple[list[set[int]], set[int]]] = {
    'none': ([], set()),
    'one crash': ([{1, 2, 3}], set()),
    'one poison': ([{1, 2, 3}, {1, 4}], {1}),
    'harmless one beside two poisons, before they rerun': (
        [{1, 5}, {2, 5}],
        {5},
    ),
    'harmless one beside two poisons, once both reran': (
        [{1, 5}, {2, 5}, {1}, {2}],
        {1, 2},
    ),
    'only one of the two poisons has rerun': ([{1, 5}, {2, 5}, {1}], {1, 5}),
    'cyclic overlaps keep a cause for each crash': (
        [{1, 2}, {2, 3}, {3, 1}],
        {2, 3},
    ),
    'two that are always together': ([{1, 2}, {1, 2}], {1, 2}),
}


@pytest.mark.parametrize('name', ATTRIBUTED)
def test_crashes_are_attributed(name: str) -> None:
    crashes, expected = ATTRIBUTED[name]
    assert attribute_crashes(crashes, 2) == expected
    shuffled = random.Random(1).sample(crashes, len(crashes))
    assert attribute_crashes(shuffled, 2) == expected


@pytest.mark.parametrize('limit', [2, 3])
def test_each_crash_keeps_a_cause(limit: int) -> None:
    rng = random.Random(limit)
    for _ in range(300):
        crashes = [
            set(rng.sample(range(6), rng.randint(1, 4)))
            for _ in range(rng.randint(1, 6))
        ]
        attributed = attribute_crashes(crashes, limit)
        for crash in crashes:
            candidates = {
                fingerprint
                for fingerprint in crash
                if sum(fingerprint in other for other in crashes) >= limit
            }
            assert not candidates or attributed & crash


def quarantine() -> tuple[Quarantine, ManualClock]:
    clock = ManualClock()
    return Quarantine(clock, ttl=TTL), clock


def test_many_cuts_of_one_crash_count_once() -> None:
    routers, _ = quarantine()
    crash = Crash('e0', 'a')
    assert routers.record_crash(1, crash, 0, 1) is FingerprintStatus.SUSPECT
    assert routers.record_crash(1, crash, 0, 1) is FingerprintStatus.SUSPECT
    assert (
        routers.record_crash(1, Crash('e0', 'b'), 0, 1)
        is FingerprintStatus.QUARANTINED
    )


def test_a_request_sent_after_the_crash_is_not_suspect() -> None:
    router, clock = quarantine()
    clock.advance(timedelta(seconds=10))
    crash = Crash('e0', 'a')
    router.record_crash(1, crash, started_at=1, cut_at=5)
    assert (
        router.record_crash(2, crash, started_at=6, cut_at=7)
        is FingerprintStatus.CLEAR
    )
    assert (
        router.record_crash(3, crash, started_at=4, cut_at=5)
        is FingerprintStatus.SUSPECT
    )


def test_crashes_expire() -> None:
    router, clock = quarantine()
    router.record_crash(1, Crash('e0', 'a'), 0, 0)
    router.record_crash(1, Crash('e1', 'a'), 0, 0)
    other = Quarantine(clock, ttl=TTL)
    clock.advance(TTL / 2)
    assert other.merge(router.export()) == 2
    assert other.quarantined == {1}
    clock.advance(TTL / 2 + timedelta(seconds=1))
    assert router.status(1) is other.status(1) is FingerprintStatus.CLEAR
    assert not router.export()


def test_memory_is_bounded() -> None:
    router, _ = quarantine()
    for boot in range(2 * MAX_CRASHES):
        router.record_crash(boot, Crash('e0', str(boot)), 0, 0)
    assert len(router.export()) == MAX_CRASHES


def test_others_hold_a_request_while_its_crash_is_investigated() -> None:
    here, clock = quarantine()
    there = Quarantine(clock, ttl=TTL)

    def share(report: CrashReport) -> None:
        there.merge((report,))

    here.add_listener(share)
    crash = Crash('e0', 'a')
    with here.record_possible_crash(1, crash, cut_at=0):
        assert there.is_held(1)
        assert there.status(1) is FingerprintStatus.CLEAR
        here.record_crash(1, crash, started_at=0, cut_at=0)
        assert not there.is_held(1)
        assert there.status(1) is FingerprintStatus.SUSPECT
    with here.record_possible_crash(2, Crash('e1', 'a'), cut_at=0):
        pass
    assert there.is_held(2)
    clock.advance(MAX_HOLD_DURATION)
    assert not there.is_held(2)
    assert there.status(2) is FingerprintStatus.CLEAR


@pytest.mark.parametrize('crashes', [3, 5])
def test_a_lookup_beside_each_crash_does_not_hide_its_cause(
    crashes: int,
) -> None:
    # The lookup was also at a crash of another cause, so it explained all.
    router = Quarantine(ManualClock(), limit=3, ttl=TTL)
    lookup = 99
    router.record_crash(lookup, Crash('e9', 'a'), 0, 0)
    for number in range(crashes):
        crash = Crash('e0', str(number))
        for fingerprint in (POISON, lookup):
            router.record_crash(fingerprint, crash, 0, 0)
        router.record_answer(lookup)
    assert router.status(POISON) is FingerprintStatus.QUARANTINED
    assert router.status(lookup) is FingerprintStatus.SUSPECT


def test_a_request_that_was_answered_since_its_crashes_is_not_quarantined() -> (
    None
):
    router, _ = quarantine()
    for number in range(3):
        router.record_crash(1, Crash('e0', str(number)), 0, 0)
    assert router.quarantined == {1}
    router.record_answer(1)
    assert not router.quarantined


def test_the_memory_of_answered_requests_is_bounded() -> None:
    router, _ = quarantine()
    for fingerprint in range(MAX_ANSWERED + 10):
        router.record_crash(fingerprint, Crash('e0', 'a'), 0, 0)
    for fingerprint in range(MAX_ANSWERED + 10):
        router.record_answer(fingerprint)
    for number in range(3):
        router.record_crash(0, Crash('e1', str(number)), 0, 0)
    assert router.quarantined == {0}
