import asyncio
from collections.abc import Sequence
from contextlib import suppress
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.store.follower import FollowerOptions, TopicFollower
from bergamotshed.store.health import StoreHealth
from bergamotshed.store.types import (
    Changes,
    Entry,
    KeyedStore,
    Listing,
    Position,
    StoreError,
    StoreHistoryGone,
    StoreUnavailable,
    Topic,
    TopicConsumer,
)
from tests.waiting import until

from .positions import at

WAIT = timedelta(seconds=2)
OPTIONS = FollowerOptions(WAIT)


class ScriptedStore(KeyedStore):
    """Returns prepared answers in order, then ends the follower."""

    def __init__(
        self, clock: ManualClock, *answers: Listing | Changes | StoreError
    ) -> None:
        self.calls: list[str] = []
        self._clock = clock
        self._answers = list(answers)

    async def newest(self, topic: Topic) -> Listing:
        answer = self._next('newest')
        assert isinstance(answer, Listing)
        return answer

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        self._clock.advance(wait)
        answer = self._next(f'read {start.offset}')
        assert isinstance(answer, Changes)
        return answer

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        raise AssertionError

    def _next(self, call: str) -> Listing | Changes:
        self.calls.append(call)
        if not self._answers:
            raise asyncio.CancelledError
        answer = self._answers.pop(0)
        if isinstance(answer, StoreError):
            raise answer
        return answer


class RecordingConsumer(TopicConsumer):
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
    options: FollowerOptions = OPTIONS,
) -> tuple[ScriptedStore, RecordingConsumer]:
    clock = ManualClock()
    store = ScriptedStore(clock, *answers)
    consumer = RecordingConsumer()
    follower = TopicFollower(
        store, Topic.UPSTREAMS, consumer, options, StoreHealth(clock), clock
    )
    with suppress(asyncio.CancelledError):
        await follower.run()
    return store, consumer


async def test_lists_once_and_reads_from_there() -> None:
    store, consumer = await follow(
        Listing((Entry('a', b'1'),), at(5)),
        Changes((Entry('b', b'1'),), at(6)),
        Changes((), at(6)),
    )
    assert store.calls == ['newest', 'read 5', 'read 6', 'read 6']
    assert [kind for kind, _, _ in consumer.log] == [
        'listing',
        'changes',
        'changes',
    ]


async def test_a_read_confirms_as_of_when_it_was_sent() -> None:
    _, consumer = await follow(
        Listing((), at(0)), Changes((), at(0)), Changes((), at(0))
    )
    assert [sent_at for _, _, sent_at in consumer.log] == [0, 0, 2]


async def test_an_incomplete_read_confirms_nothing_new() -> None:
    settle = timedelta(seconds=1)
    store, consumer = await follow(
        Listing((), at(0)),
        Changes((), at(0)),
        Changes((Entry('a', b'1'),), at(1), is_complete=False),
        Changes((Entry('a', b'2'),), at(2)),
        options=FollowerOptions(WAIT, settle),
    )
    assert store.calls[-3:] == ['read 0', 'read 1', 'read 2']
    assert [sent_at for _, _, sent_at in consumer.log] == [0, 0, 0, 4]


async def test_a_relayed_read_confirms_as_of_the_peer_s_call() -> None:
    settle = timedelta(seconds=1)
    relayed = Changes(
        (Entry('a', b'1'),), at(1), is_relayed=True, age=timedelta(seconds=0.5)
    )
    _, consumer = await follow(
        Listing((), at(0)),
        relayed,
        relayed,
        options=FollowerOptions(timedelta(0), settle),
    )
    assert [sent_at for _, _, sent_at in consumer.log] == [0, -0.5, -0.5]


async def test_continues_at_the_same_offset_after_a_failure() -> None:
    store, consumer = await follow(
        Listing((), at(5)), StoreUnavailable('no answer'), Changes((), at(5))
    )
    assert store.calls == ['newest', 'read 5', 'read 5', 'read 5']
    assert len(consumer.log) == 2


async def test_the_first_read_after_a_failure_does_not_wait() -> None:
    _, consumer = await follow(
        Listing((), at(5)),
        StoreUnavailable('no answer'),
        Changes((), at(5)),
        Changes((), at(5)),
    )
    first, second, third = (sent_at for _, _, sent_at in consumer.log)
    assert second < first + 2 * WAIT.total_seconds()
    assert third == second


async def test_changes_that_follow_shortly_are_gathered() -> None:
    change = Changes((Entry('a', b'1'),), at(1))
    settle = timedelta(seconds=1)
    _, consumer = await follow(
        Listing((), at(0)),
        change,
        change,
        Changes((), at(1)),
        Changes((), at(1)),
        options=FollowerOptions(timedelta(0), settle),
    )
    assert [sent_at for _, _, sent_at in consumer.log] == [0, 0, 1, 2, 2]


async def test_lists_again_when_the_history_is_gone() -> None:
    store, consumer = await follow(
        Listing((Entry('a', b'1'),), at(5)),
        StoreHistoryGone('gone'),
        Listing((Entry('b', b'1'),), at(9)),
    )
    assert store.calls == ['newest', 'read 5', 'newest', 'read 9']
    assert consumer.log[-1][1] == ('b',)


async def test_failed_confirmations_are_rate_limited() -> None:
    # In an incident, each request with an unknown key made one more call that
    # the store refused.
    clock = ManualClock()
    failures = [StoreUnavailable('no answer') for _ in range(50)]
    store = ScriptedStore(
        clock, Listing((), at(0)), Changes((), at(0)), *failures
    )
    follower = TopicFollower(
        store,
        Topic.CONFIGURATION,
        RecordingConsumer(),
        FollowerOptions(WAIT),
        StoreHealth(clock),
        clock,
    )
    await follower._step()
    assert await follower.confirm()
    calls = len(store.calls)
    for _ in range(30):
        assert not await follower.confirm()
        clock.advance(timedelta(milliseconds=20))
    assert len(store.calls) - calls == 2


def test_an_outage_takes_a_failure_and_a_long_silence() -> None:
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


async def test_a_store_that_returns_from_a_copy_is_listed_again() -> None:
    store, consumer = await follow(
        Listing((Entry('lost', b'1'),), at(7, era=1)),
        StoreHistoryGone('the era is 2, not 1'),
        Listing((Entry('kept', b'1'),), at(5, era=2)),
        Changes((Entry('new', b'1'),), at(6, era=2)),
    )
    assert store.calls[:4] == ['newest', 'read 7', 'newest', 'read 5']
    assert [(kind, keys) for kind, keys, _ in consumer.log] == [
        ('listing', ('lost',)),
        ('listing', ('kept',)),
        ('changes', ('new',)),
    ]


@pytest.mark.parametrize(
    ('eras', 'returns'),
    [((1, 1), 0), ((None, None), 0), ((1, 2), 1), ((None, 3), 1), ((2, 1), 1)],
)
async def test_each_change_of_era_is_a_return(
    eras: tuple[int | None, int | None], returns: int
) -> None:
    clock = ManualClock()
    health = StoreHealth(clock)
    for era in eras:
        health.record_era(era)
    assert health.return_count == returns
    assert (health.outage_ended_at == 0) == bool(returns)


async def test_a_history_that_never_settles_is_listed_ever_less_often() -> None:
    clock = ManualClock()
    answers = [
        answer
        for era in range(40)
        for answer in (Listing((), at(0, era)), StoreHistoryGone('another era'))
    ]
    store = ScriptedStore(clock, *answers)
    follower = TopicFollower(
        store,
        Topic.UPSTREAMS,
        RecordingConsumer(),
        FollowerOptions(timedelta(0)),
        StoreHealth(clock),
        clock,
    )
    with suppress(asyncio.CancelledError):
        await follower.run()
    assert store.calls.count('newest') == 41
    assert clock.monotonic() > 20


class HoldingStore(ScriptedStore):
    """Holds every read back for good."""

    async def read(
        self, topic: Topic, start: Position, wait: timedelta
    ) -> Changes:
        self.calls.append(f'read {start.offset}')
        await asyncio.get_running_loop().create_future()
        raise AssertionError


async def test_a_read_that_is_held_back_ends_with_the_era() -> None:
    clock = ManualClock()
    health = StoreHealth(clock)
    store = HoldingStore(
        clock, Listing((), at(7, era=1)), Listing((), at(5, era=2))
    )
    follower = TopicFollower(
        store, Topic.UPSTREAMS, RecordingConsumer(), OPTIONS, health, clock
    )
    running = asyncio.create_task(follower.run())
    await until(lambda: store.calls == ['newest', 'read 7'])
    # The listing of another topic.
    health.record_era(2)
    await until(lambda: store.calls == ['newest', 'read 7', 'newest', 'read 5'])
    running.cancel()
