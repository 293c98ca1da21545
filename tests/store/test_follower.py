import asyncio
from collections.abc import Sequence
from contextlib import suppress
from datetime import timedelta

from bergamotshed.clock import ManualClock
from bergamotshed.store.follower import FollowerOptions, TopicFollower
from bergamotshed.store.health import StoreHealth
from bergamotshed.store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    StoreError,
    StoreHistoryGone,
    StoreUnavailable,
    Topic,
    TopicConsumer,
)

WAIT = timedelta(seconds=2)
PACE = FollowerOptions(WAIT)


class ScriptedStore(KeyedStore):
    """Gives prepared answers in their order, then ends the follower."""

    def __init__(
        self, clock: ManualClock, *answers: Listing | Changes | StoreError
    ) -> None:
        self.asked: list[str] = []
        self._clock = clock
        self._answers = list(answers)

    async def newest(self, topic: Topic) -> Listing:
        answer = self._next('newest')
        assert isinstance(answer, Listing)
        return answer

    async def read(self, topic: Topic, start: int, wait: timedelta) -> Changes:
        self._clock.advance(wait)
        answer = self._next(f'read {start}')
        assert isinstance(answer, Changes)
        return answer

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        raise AssertionError

    def _next(self, asked: str) -> Listing | Changes:
        self.asked.append(asked)
        if not self._answers:
            raise asyncio.CancelledError
        answer = self._answers.pop(0)
        if isinstance(answer, StoreError):
            raise answer
        return answer


class Taken(TopicConsumer):
    def __init__(self) -> None:
        self.log: list[tuple[str, tuple[str, ...], float]] = []

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        self.log.append(('listing', _keys(entries), sent_at))

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        self.log.append(('changes', _keys(entries), sent_at))


def _keys(entries: Sequence[Entry]) -> tuple[str, ...]:
    return tuple(entry.key for entry in entries)


async def follow(
    *answers: Listing | Changes | StoreError,
    pace: FollowerOptions = PACE,
) -> tuple[ScriptedStore, Taken]:
    clock = ManualClock()
    store = ScriptedStore(clock, *answers)
    taken = Taken()
    follower = TopicFollower(
        store, Topic.UPSTREAMS, taken, pace, StoreHealth(clock), clock
    )
    with suppress(asyncio.CancelledError):
        await follower.run()
    return store, taken


async def test_lists_once_and_reads_from_there() -> None:
    store, taken = await follow(
        Listing((Entry('a', b'1'),), 5),
        Changes((Entry('b', b'1'),), 6),
        Changes((), 6),
    )
    assert store.asked == ['newest', 'read 5', 'read 6', 'read 6']
    assert [kind for kind, _, _ in taken.log] == [
        'listing',
        'changes',
        'changes',
    ]


async def test_a_read_confirms_from_when_it_was_sent() -> None:
    _, taken = await follow(Listing((), 0), Changes((), 0), Changes((), 0))
    assert [sent_at for _, _, sent_at in taken.log] == [0, 0, 2]


async def test_goes_on_from_the_same_place_after_a_failure() -> None:
    store, taken = await follow(
        Listing((), 5), StoreUnavailable('away'), Changes((), 5)
    )
    assert store.asked == ['newest', 'read 5', 'read 5', 'read 5']
    assert len(taken.log) == 2


async def test_the_first_read_after_a_failure_is_not_held_back() -> None:
    _, taken = await follow(
        Listing((), 5), StoreUnavailable('away'), Changes((), 5), Changes((), 5)
    )
    first, second, third = (sent_at for _, _, sent_at in taken.log)
    assert second < first + 2 * WAIT.total_seconds()
    assert third == second


async def test_changes_that_follow_shortly_are_gathered() -> None:
    change = Changes((Entry('a', b'1'),), 1)
    settle = timedelta(seconds=1)
    _, taken = await follow(
        Listing((), 0),
        change,
        change,
        Changes((), 1),
        Changes((), 1),
        pace=FollowerOptions(timedelta(0), settle),
    )
    assert [sent_at for _, _, sent_at in taken.log] == [0, 0, 1, 2, 2]


async def test_lists_again_when_the_history_is_gone() -> None:
    store, taken = await follow(
        Listing((Entry('a', b'1'),), 5),
        StoreHistoryGone('gone'),
        Listing((Entry('b', b'1'),), 9),
    )
    assert store.asked == ['newest', 'read 5', 'newest', 'read 9']
    assert taken.log[-1][1] == ('b',)


async def test_confirmations_of_a_store_that_is_away_are_paced() -> None:
    # Found in an incident: each unknown key cost a refused call.
    clock = ManualClock()
    away = [StoreUnavailable('away') for _ in range(50)]
    store = ScriptedStore(clock, Listing((), 0), Changes((), 0), *away)
    follower = TopicFollower(
        store,
        Topic.CONFIGURATION,
        Taken(),
        FollowerOptions(WAIT),
        StoreHealth(clock),
        clock,
    )
    await follower._step()
    assert await follower.confirm()
    asked = len(store.asked)
    for _ in range(30):
        assert not await follower.confirm()
        clock.advance(timedelta(milliseconds=20))
    assert len(store.asked) - asked == 2


def test_an_outage_is_a_failure_and_a_long_silence() -> None:
    clock = ManualClock()
    health = StoreHealth(clock)
    health.record_success()
    clock.advance(timedelta(seconds=20))
    health.record_success()
    assert health.outage_ended_at == -float('inf')
    health.record_failure()
    clock.advance(timedelta(seconds=1))
    health.record_success()
    assert health.outage_ended_at == -float('inf')
    health.record_failure()
    clock.advance(timedelta(seconds=3))
    health.record_success()
    assert health.outage_ended_at == clock.boottime()
