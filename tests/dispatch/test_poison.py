import asyncio

from bergamotshed.routing.crashes import Crash, CrashReport
from tests.callers.chat_client import ChatResponse, messages, send_chat
from tests.dispatch.support import Bench, open_bench
from tests.standins.answers import answer_text
from tests.standins.runs import EngineOptions
from tests.waiting import until

THREE_ENGINES = tuple(
    EngineOptions(f'e{place}', token_s=0.004, down_s=0.2) for place in range(3)
)
POISON = 'now poison'
INNOCENT = 'innocent {} tokens=60'
#: Stated by the users: crashes after which a shared part must be known.
MAX_CRASHES_BY_PART = 5


def crashes(bench: Bench) -> int:
    return sum(len(engine.run_record()['crashes']) for engine in bench.engines)


async def send_innocents(bench: Bench, count: int) -> list[ChatResponse]:
    return await asyncio.gather(
        *(
            send_chat(bench.session, bench.url, INNOCENT.format(place))
            for place in range(count)
        )
    )


def assert_answered(innocents: list[ChatResponse]) -> None:
    for place, answer in enumerate(innocents):
        assert answer.error is None
        assert answer.text == answer_text(messages(INNOCENT.format(place)))


async def test_poison_is_quarantined_and_innocents_are_answered() -> None:
    async with open_bench(THREE_ENGINES, real_placer=True) as bench:
        innocents = asyncio.create_task(send_innocents(bench, 12))
        await until(
            lambda: all(e.run_record()['in_flight'] > 1 for e in bench.engines)
        )
        answer = await send_chat(bench.session, bench.url, POISON)
        assert answer.error is not None
        assert (answer.status, answer.error['type']) == (422, 'failed')
        assert answer.error['reason'] == 'quarantined'
        assert_answered(await innocents)
        assert crashes(bench) == 2


async def test_repeats_of_a_poison_request_crash_no_more_engines() -> None:
    async with open_bench(THREE_ENGINES, real_placer=True) as bench:
        repeats = [
            await send_chat(bench.session, bench.url, POISON) for _ in range(3)
        ]
        assert [answer.status for answer in repeats] == [422] * 3
        assert crashes(bench) == 2
        assert_answered(await send_innocents(bench, 6))


async def test_repeats_wait_while_the_suspect_reruns() -> None:
    async with open_bench(THREE_ENGINES, real_placer=True) as bench:
        first = asyncio.create_task(send_chat(bench.session, bench.url, POISON))
        await until(lambda: crashes(bench))
        repeats = [
            send_chat(bench.session, bench.url, POISON) for _ in range(4)
        ]
        answers = await asyncio.gather(first, *repeats)
        assert [answer.status for answer in answers] == [422] * 5
        assert crashes(bench) == 2


async def test_repeats_that_crash_two_engines_at_once_are_both_examined() -> (
    None
):
    """The second run is examined although the first one holds the lock."""
    async with open_bench(THREE_ENGINES, real_placer=True) as bench:
        answers = await asyncio.gather(
            *(send_chat(bench.session, bench.url, POISON) for _ in range(4))
        )
        assert [answer.status for answer in answers] == [422] * 4
        assert crashes(bench) == 2


async def test_an_unnoticed_restart_counts_as_a_crash() -> None:
    fast_engines = tuple(
        EngineOptions(f'e{place}', down_s=0) for place in range(3)
    )
    async with open_bench(fast_engines, real_placer=True) as bench:
        assert_answered(await send_innocents(bench, 6))
        answer = await send_chat(bench.session, bench.url, POISON)
        assert answer.status == 422
        assert crashes(bench) == 2


async def test_a_second_crash_of_one_engine_is_counted_separately() -> None:
    single_engine = (EngineOptions('e0', down_s=0),)
    async with open_bench(single_engine, real_placer=True) as bench:
        assert_answered(await send_innocents(bench, 1))
        first = bench.engines[0].boot
        bench.engines[0].on_fault({'fault': 'crash'})
        report_of_other_router = CrashReport(Crash('e0', first), (1,))
        bench.quarantine.merge((report_of_other_router,))
        second = bench.engines[0].boot
        await send_chat(bench.session, bench.url, POISON)
        crashed = {report.crash for report in bench.quarantine.export()}
        assert crashed == {Crash('e0', first), Crash('e0', second)}


def chat_with(*earlier: str, last: str) -> list[dict[str, str]]:
    return [
        *({'role': 'system', 'content': text} for text in earlier),
        {'role': 'user', 'content': last},
    ]


async def test_a_message_that_crashes_engines_in_any_chat_is_quarantined() -> (
    None
):
    async with open_bench(THREE_ENGINES, real_placer=True) as bench:
        for place in range(8):
            chat = chat_with('shared', 'venom', last=f'question {place}')
            poisoned = await send_chat(
                bench.session, bench.url, '', messages=chat
            )
            sound = chat_with('shared', last=f'question {place}')
            answer = await send_chat(
                bench.session, bench.url, '', messages=sound
            )
            assert answer.error is None
            assert answer.text == answer_text(sound)
        assert poisoned.error is not None
        assert poisoned.error['reason'] == 'quarantined'
        assert crashes(bench) <= MAX_CRASHES_BY_PART
        assert_answered(await send_innocents(bench, 6))
