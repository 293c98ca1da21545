import asyncio

from bergamotshed.routing.crashes import Crash, CrashReport
from tests.callers.chat_client import Told, ask, messages
from tests.dispatch.support import Bench, open_bench
from tests.standins.answers import answer_text
from tests.standins.runs import EngineOptions
from tests.waiting import until

THREE = tuple(
    EngineOptions(f'e{place}', token_s=0.004, down_s=0.2) for place in range(3)
)
POISON = 'now poison'
INNOCENT = 'innocent {} tokens=60'


def crashes(bench: Bench) -> int:
    return sum(len(engine.ran()['crashes']) for engine in bench.engines)


async def ask_innocents(bench: Bench, count: int) -> list[Told]:
    return await asyncio.gather(
        *(
            ask(bench.session, bench.url, INNOCENT.format(place))
            for place in range(count)
        )
    )


def assert_answered(innocents: list[Told]) -> None:
    for place, told in enumerate(innocents):
        assert told.error is None
        assert told.text == answer_text(messages(INNOCENT.format(place)))


async def test_a_poison_request_stops_and_innocents_are_answered() -> None:
    async with open_bench(THREE, real_placer=True) as bench:
        innocents = asyncio.create_task(ask_innocents(bench, 12))
        await until(
            lambda: all(e.ran()['in_flight'] > 1 for e in bench.engines)
        )
        told = await ask(bench.session, bench.url, POISON)
        assert told.error is not None
        assert (told.status, told.error['type']) == (422, 'failed')
        assert told.error['reason'] == 'quarantined'
        assert_answered(await innocents)
        assert crashes(bench) == 2


async def test_repeats_of_a_poison_request_are_answered_at_once() -> None:
    async with open_bench(THREE, real_placer=True) as bench:
        repeats = [
            await ask(bench.session, bench.url, POISON) for _ in range(3)
        ]
        assert [told.status for told in repeats] == [422] * 3
        assert crashes(bench) == 2
        assert_answered(await ask_innocents(bench, 6))


async def test_repeats_wait_while_the_suspect_reruns() -> None:
    async with open_bench(THREE, real_placer=True) as bench:
        first = asyncio.create_task(ask(bench.session, bench.url, POISON))
        await until(lambda: crashes(bench))
        repeats = [ask(bench.session, bench.url, POISON) for _ in range(4)]
        told = await asyncio.gather(first, *repeats)
        assert [one.status for one in told] == [422] * 5
        assert crashes(bench) == 2


async def test_a_restart_that_was_not_seen_counts_as_a_crash() -> None:
    quick = tuple(EngineOptions(f'e{place}', down_s=0) for place in range(3))
    async with open_bench(quick, real_placer=True) as bench:
        assert_answered(await ask_innocents(bench, 6))
        told = await ask(bench.session, bench.url, POISON)
        assert told.status == 422
        assert crashes(bench) == 2


async def test_a_second_crash_of_one_engine_is_not_taken_for_the_first() -> (
    None
):
    one = (EngineOptions('e0', down_s=0),)
    async with open_bench(one, real_placer=True) as bench:
        assert_answered(await ask_innocents(bench, 1))
        first = bench.engines[0].boot
        bench.engines[0].on_fault({'fault': 'crash'})
        told_elsewhere = CrashReport(Crash('e0', first), (1,))
        bench.quarantine.merge((told_elsewhere,))
        second = bench.engines[0].boot
        await ask(bench.session, bench.url, POISON)
        crashed = {report.crash for report in bench.quarantine.export()}
        assert crashed == {Crash('e0', first), Crash('e0', second)}
