import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

import pytest

from bergamotshed.clock import SystemClock
from bergamotshed.control.claimrecords import stream_number
from bergamotshed.control.claims import LogClaims
from bergamotshed.control.types import Claim, SettledAnswer
from bergamotshed.reasons import Reason, Refusal
from bergamotshed.routers.claims import OwnerClaims
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import Hello
from bergamotshed.routing.health import UpstreamHealth
from bergamotshed.routing.homes import home_of
from bergamotshed.routing.membership import Membership
from bergamotshed.routing.view import RouterNode
from tests.control.modellog import Fault, ModelLog
from tests.waiting import until

ORGANISATION = 'cargas'
ANSWER = SettledAnswer(200, b'booked')


class Router:
    def __init__(self, name: str, log: ModelLog) -> None:
        self.name = name
        self.clock = SystemClock()
        self.mesh = PeerMesh(name, '127.0.0.1:0', self.clock, lambda *_: None)
        self.log_claims = LogClaims(
            log, name, self.clock, timedelta(hours=1), partitions=4
        )

    async def start(self) -> None:
        await self.mesh.start()
        self.node = RouterNode(self.name, '', self.mesh.address, 'z')
        health = UpstreamHealth(self.name, self.clock)
        self.view = Membership(self.node, self.clock, health)
        self.claims = OwnerClaims(
            self.name, self.mesh, self.view, self.log_claims, self.clock
        )

    async def join(self, routers: 'Sequence[Router]') -> None:
        nodes = [router.node for router in routers]
        self.view.update_list((), nodes)
        self.mesh.set_peers(nodes)
        for peer in self.mesh.peers:
            await until(partial(self.mesh.send, peer, Hello(1, 1)))

    async def claim(self, key: str) -> object:
        result = await self.claims.claim(ORGANISATION, key)
        return result.reason if isinstance(result, Refusal) else result


@asynccontextmanager
async def fleet() -> AsyncIterator[tuple[ModelLog, list[Router]]]:
    log = ModelLog(SystemClock())
    routers = [Router(name, log) for name in 'abcd']
    for router in routers:
        await router.start()
    for router in routers:
        await router.join(routers)
    try:
        yield log, routers
    finally:
        for router in routers:
            await router.log_claims.close()
            await router.mesh.close()


def key_owned_by(owner: Router) -> str:
    """Return a key whose stream is owned by that router."""
    for number in range(10_000):
        key = f'key-{number}'
        stream = stream_of(key)
        if home_of('claims', stream, owner.view.routers()) == owner.name:
            return key
    raise AssertionError('this router owns no stream')


def stream_of(key: str) -> int:
    return stream_number(ORGANISATION, key, 4)


def owner_other_and_key(routers: list[Router]) -> tuple[Router, Router, str]:
    """Return the owner of a stream, another router, and a key in the stream."""
    name = home_of('claims', 0, routers[0].view.routers())
    owner = next(router for router in routers if router.name == name)
    other = next(router for router in routers if router is not owner)
    return owner, other, key_owned_by(owner)


async def test_a_settled_answer_reaches_all_routers_through_the_owner() -> None:
    async with fleet() as (log, routers):
        owner, other, key = owner_other_and_key(routers)
        claim = await other.claim(key)
        assert isinstance(claim, Claim)
        assert await routers[3].claim(key) is Reason.CLAIM_TAKEN
        await other.claims.settle(claim, ANSWER)
        await until(lambda: not owner.log_claims.pending and log.appends == 2)
        for router in routers:
            assert await router.claim(key) == ANSWER
        assert other.log_claims._streams == {}


async def test_a_voided_key_is_free_again() -> None:
    async with fleet() as (log, routers):
        _, other, key = owner_other_and_key(routers)
        claim = await other.claim(key)
        assert isinstance(claim, Claim)
        await other.claims.void(claim)
        await until(lambda: log.appends == 2)
        assert isinstance(await routers[3].claim(key), Claim)


async def test_ending_a_voided_claim_does_not_affect_its_successor() -> None:
    async with fleet() as (log, routers):
        owner, other, key = owner_other_and_key(routers)
        first = await other.claim(key)
        assert isinstance(first, Claim)
        await other.claims.void(first)
        await until(lambda: log.appends == 2)
        second = await other.claim(key)
        assert isinstance(second, Claim)
        await owner.log_claims.void(first)
        await owner.log_claims.settle(first, ANSWER)
        assert await routers[3].claim(key) is Reason.CLAIM_TAKEN


async def test_keys_are_claimed_in_the_log_when_the_owner_is_down() -> None:
    async with fleet() as (_, routers):
        owner, other, key = owner_other_and_key(routers)
        claim = await other.claim(key)
        await owner.mesh.close()
        others = [router for router in routers if router is not owner]
        results = [await router.claim(key) for router in others]
        assert isinstance(claim, Claim)
        assert set(results) == {Reason.CLAIM_TAKEN}
        other_key = key + '-fresh'
        verdicts = [await router.claim(other_key) for router in others]
        assert sum(isinstance(verdict, Claim) for verdict in verdicts) == 1


@pytest.mark.parametrize('cancel_arrives', [True, False])
async def test_a_claim_won_after_the_asker_timed_out_is_voided(
    monkeypatch: pytest.MonkeyPatch, cancel_arrives: bool
) -> None:
    monkeypatch.setattr(
        'bergamotshed.routers.claims.OWNER_TIMEOUT', timedelta(seconds=0.01)
    )
    monkeypatch.setattr('tests.control.modellog.DELAY_S', 0.03)
    async with fleet() as (_, routers):
        owner, other, key = owner_other_and_key(routers)
        if not cancel_arrives:
            owner.mesh._inbox._cancel_answer = (  # type: ignore[method-assign]
                lambda *_: None
            )
        assert await other.claim(key) is Reason.CLAIM_UNAVAILABLE
        monkeypatch.undo()
        results = []
        for _ in range(10):
            results.append(await routers[3].claim(key))
            await asyncio.sleep(0.1)
        assert sum(isinstance(result, Claim) for result in results) == 1


async def test_no_key_runs_twice_when_lists_differ_and_an_owner_fails() -> None:
    rng = random.Random(4)
    run_counts: Counter[str] = Counter()
    async with fleet() as (log, routers):
        log.fault = lambda: rng.choice(
            [Fault.NONE] * 20 + [Fault.LOST_AFTER, Fault.LOST_BEFORE]
        )

        async def call(router: Router, key: str) -> None:
            result = await router.claim(key)
            if isinstance(result, Claim):
                run_counts[key] += 1
                await router.claims.settle(result, ANSWER)

        calls = []
        for number in range(400):
            if number == 130:
                await routers[0].join(routers[:2])
            if number == 260:
                await routers[1].mesh.close()
            key = f'key-{rng.randrange(150)}'
            router = rng.choice(routers if number < 260 else routers[2:])
            calls.append(asyncio.create_task(call(router, key)))
            if number % 10 == 0:
                await asyncio.sleep(0.01)
        await asyncio.gather(*calls)
        assert max(run_counts.values()) == 1
        assert len(run_counts) > 100
