import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
import zmq
import zmq.asyncio

from bergamotshed.clock import SystemClock
from bergamotshed.routers.errors import NoAnswer, NoAnswerReason
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import (
    ConfigurationAnswer,
    ConfigurationRequest,
    Heartbeat,
    Message,
)
from bergamotshed.routing.view import RouterNode
from tests.waiting import until

SHORT = timedelta(milliseconds=200)
LONG = timedelta(seconds=5)


class Node:
    def __init__(self, name: str, address: str = '127.0.0.1:0') -> None:
        self.bytes: Counter[str] = Counter()
        self.heard: list[tuple[str, Heartbeat]] = []
        self.mesh = PeerMesh(name, address, SystemClock(), self.count)
        self.mesh.on_notice(
            Heartbeat, lambda peer, beat: self.heard.append((peer, beat))
        )
        self.name = name

    def count(self, kind: str, sent: int, received: int) -> None:
        assert kind == 'routers'
        self.bytes.update(sent=sent, received=received)

    @property
    def router(self) -> RouterNode:
        return RouterNode(self.name, '', self.mesh.address, 'a')


@asynccontextmanager
async def fleet(*names: str) -> AsyncIterator[list[Node]]:
    nodes = [Node(name) for name in names]
    for node in nodes:
        await node.mesh.start()
    for node in nodes:
        node.mesh.set_peers([other.router for other in nodes])
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.mesh.close()


async def until_connected(node: Node, peer: str) -> None:
    await until(lambda: node.mesh.send(peer, Heartbeat(node.name, 1, 1, -1)))


async def slow(peer: str, message: ConfigurationRequest) -> Message:
    await asyncio.sleep(message.version / 1000)
    return ConfigurationAnswer(message.version, peer.encode())


async def broken(peer: str, message: ConfigurationRequest) -> Message:
    raise RuntimeError(peer)


ANSWERS = [
    pytest.param(slow, 0, ConfigurationAnswer(0, b'a'), id='at-once'),
    pytest.param(slow, 300, ConfigurationAnswer(300, b'a'), id='told-to-wait'),
    pytest.param(broken, 0, NoAnswerReason.FAILED, id='handler-fails'),
    pytest.param(None, 0, NoAnswerReason.FAILED, id='no-handler'),
    pytest.param(slow, 9000, NoAnswerReason.SILENT, id='out-of-patience'),
]


@pytest.mark.parametrize(('handler', 'delay', 'expected'), ANSWERS)
async def test_a_question_is_answered_or_says_why_not(
    handler: object, delay: int, expected: object
) -> None:
    async with fleet('a', 'b') as (a, b):
        if handler is not None:
            b.mesh.on_question(ConfigurationRequest, handler)  # type: ignore[arg-type]
        await until_connected(a, 'b')
        answer = await a.mesh.ask(
            'b', ConfigurationRequest(delay), SHORT, timedelta(milliseconds=900)
        )
        if isinstance(answer, NoAnswer):
            assert answer.reason is expected
            assert answer.is_sent
        else:
            assert answer == expected


async def test_a_question_that_was_given_up_is_cancelled_at_the_peer() -> None:
    ended: list[str] = []

    async def endless(peer: str, message: ConfigurationRequest) -> Message:
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(peer)
        raise AssertionError

    async with fleet('a', 'b') as (a, b):
        b.mesh.on_question(ConfigurationRequest, endless)
        await until_connected(a, 'b')
        task = asyncio.create_task(
            a.mesh.ask('b', ConfigurationRequest(0), LONG, LONG)
        )
        await until(lambda: b.mesh._inbox.pending_answers)
        task.cancel()
        await until(lambda: ended == ['a'])


async def test_an_absent_peer_is_reported_without_waiting() -> None:
    async with fleet('a') as (a,):
        gone = RouterNode('gone', '', '127.0.0.1:25001', 'a')
        a.mesh.set_peers([gone])
        absent = await a.mesh.ask('gone', ConfigurationRequest(0), LONG)
        unknown = await a.mesh.ask('never', ConfigurationRequest(0), LONG)
        assert absent == NoAnswer(
            'gone', NoAnswerReason.UNREACHABLE, is_sent=False
        )
        assert unknown == NoAnswer(
            'never', NoAnswerReason.UNKNOWN_PEER, is_sent=False
        )


async def test_a_restarted_peer_is_heard_under_the_same_name() -> None:
    async with fleet('a', 'b') as (a, b):
        await until_connected(a, 'b')
        await a.mesh.close()
        again = Node('a')
        await again.mesh.start()
        again.mesh.set_peers([b.router])
        await until_connected(again, 'b')
        await until(lambda: len(b.heard) >= 2)
        b.mesh.on_question(ConfigurationRequest, slow)
        answer = await again.mesh.ask('b', ConfigurationRequest(1), LONG)
        assert answer == ConfigurationAnswer(1, b'a')
        await again.mesh.close()


MALFORMED = [b'', b'\x00', b'\xc1', b'[1]', b'\x92\x00\x92\x63\x01', b'x' * 99]


async def test_malformed_frames_are_counted_and_cost_nothing_else() -> None:
    async with fleet('a', 'b') as (a, b):
        context = zmq.asyncio.Context()
        intruder = context.socket(zmq.DEALER)
        intruder.connect(f'tcp://{a.mesh.address}')
        for frame in MALFORMED:
            await intruder.send(frame)
        await intruder.send_multipart([b'two', b'frames'])
        await until(lambda: a.mesh.counters.malformed == len(MALFORMED) + 1)
        await until_connected(b, 'a')
        await until(lambda: a.heard)
        context.destroy(0)


async def test_every_byte_is_counted_alike_on_both_sides() -> None:
    async with fleet('a', 'b') as (a, b):
        b.mesh.on_question(ConfigurationRequest, slow)
        await until_connected(a, 'b')
        await a.mesh.ask('b', ConfigurationRequest(1), LONG)
        await until(lambda: a.bytes['sent'] == b.bytes['received'])
        await until(lambda: b.bytes['sent'] == a.bytes['received'])
        assert a.bytes['sent'] > 0
