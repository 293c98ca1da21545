import asyncio
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial
from typing import Any

import pytest
import zmq
import zmq.asyncio

from bergamotshed.clock import SystemClock
from bergamotshed.routers.errors import NoAnswer, NoAnswerReason
from bergamotshed.routers.mesh import PeerMesh
from bergamotshed.routers.messages import (
    CancelQuestion,
    ConfigurationAnswer,
    ConfigurationRequest,
    Heartbeat,
    Message,
)
from bergamotshed.routers.wire import Envelope, encode
from bergamotshed.routing.view import RouterNode
from tests.waiting import until

SHORT_TIMEOUT = timedelta(milliseconds=200)
LONG_TIMEOUT = timedelta(seconds=5)


class Node:
    def __init__(self, name: str, address: str = '127.0.0.1:0') -> None:
        self.bytes: Counter[str] = Counter()
        self.heartbeats: list[tuple[str, Heartbeat]] = []
        self.mesh = PeerMesh(name, address, SystemClock(), self.count_bytes)
        self.mesh.on_notice(
            Heartbeat,
            lambda peer, heartbeat: self.heartbeats.append((peer, heartbeat)),
        )
        self.name = name

    def count_bytes(self, kind: str, sent: int, received: int) -> None:
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


async def answer_after_delay(
    peer: str, message: ConfigurationRequest
) -> Message:
    await asyncio.sleep(message.version / 1000)
    return ConfigurationAnswer(message.version, peer.encode())


async def fail(peer: str, message: ConfigurationRequest) -> Message:
    raise RuntimeError(peer)


ANSWERS = [
    pytest.param(
        answer_after_delay,
        0,
        ConfigurationAnswer(0, b'a'),
        id='immediate-answer',
    ),
    pytest.param(
        answer_after_delay,
        300,
        ConfigurationAnswer(300, b'a'),
        id='answer-pending-first',
    ),
    pytest.param(fail, 0, NoAnswerReason.FAILED, id='handler-fails'),
    pytest.param(None, 0, NoAnswerReason.FAILED, id='no-handler'),
    pytest.param(
        answer_after_delay, 9000, NoAnswerReason.SILENT, id='pending-timeout'
    ),
]


@pytest.mark.parametrize(('handler', 'delay', 'expected'), ANSWERS)
async def test_a_question_returns_the_answer_or_why_there_is_none(
    handler: object, delay: int, expected: object
) -> None:
    async with fleet('a', 'b') as (a, b):
        if handler is not None:
            b.mesh.on_question(ConfigurationRequest, handler)  # type: ignore[arg-type]
        await until_connected(a, 'b')
        answer = await a.mesh.ask(
            'b',
            ConfigurationRequest(delay),
            SHORT_TIMEOUT,
            timedelta(milliseconds=900),
        )
        if isinstance(answer, NoAnswer):
            assert answer.reason is expected
            assert answer.is_sent
        else:
            assert answer == expected


async def test_an_abandoned_question_is_cancelled_at_the_peer() -> None:
    cancelled_by: list[str] = []

    async def wait_forever(peer: str, message: ConfigurationRequest) -> Message:
        try:
            await asyncio.Event().wait()
        finally:
            cancelled_by.append(peer)
        raise AssertionError

    async with fleet('a', 'b') as (a, b):
        b.mesh.on_question(ConfigurationRequest, wait_forever)
        await until_connected(a, 'b')
        task = asyncio.create_task(
            a.mesh.ask('b', ConfigurationRequest(0), LONG_TIMEOUT, LONG_TIMEOUT)
        )
        await until(lambda: b.mesh._inbox.pending_answers)
        task.cancel()
        await until(lambda: cancelled_by == ['a'])


async def test_an_absent_peer_is_reported_at_once() -> None:
    async with fleet('a') as (a,):
        gone = RouterNode('gone', '', '127.0.0.1:25001', 'a')
        a.mesh.set_peers([gone])
        absent = await a.mesh.ask('gone', ConfigurationRequest(0), LONG_TIMEOUT)
        unknown = await a.mesh.ask(
            'never', ConfigurationRequest(0), LONG_TIMEOUT
        )
        assert absent == NoAnswer(
            'gone', NoAnswerReason.UNREACHABLE, is_sent=False
        )
        assert unknown == NoAnswer(
            'never', NoAnswerReason.UNKNOWN_PEER, is_sent=False
        )


async def test_a_restarted_peer_keeps_its_name() -> None:
    async with fleet('a', 'b') as (a, b):
        await until_connected(a, 'b')
        await a.mesh.close()
        restarted = Node('a')
        await restarted.mesh.start()
        restarted.mesh.set_peers([b.router])
        await until_connected(restarted, 'b')
        await until(lambda: len(b.heartbeats) >= 2)
        b.mesh.on_question(ConfigurationRequest, answer_after_delay)
        answer = await restarted.mesh.ask(
            'b', ConfigurationRequest(1), LONG_TIMEOUT
        )
        assert answer == ConfigurationAnswer(1, b'a')
        await restarted.mesh.close()


async def test_a_former_question_of_a_peer_hides_no_new_one() -> None:
    """A restarted peer numbers its questions like its former process; the end
    of a former question must not keep the new one from being cancelled.
    """
    started: list[int] = []
    ended: list[int] = []
    cancelled: list[int] = []
    former_may_end = asyncio.Event()

    async def wait(_peer: str, request: ConfigurationRequest) -> Message:
        started.append(request.version)
        try:
            if request.version:
                await asyncio.Event().wait()
            await former_may_end.wait()
        except asyncio.CancelledError:
            cancelled.append(request.version)
            raise
        ended.append(request.version)
        return ConfigurationAnswer(request.version)

    context = zmq.asyncio.Context()
    async with fleet('b') as (b,):
        b.mesh.on_question(ConfigurationRequest, wait)
        try:
            for version in (0, 1):
                peer = context.socket(zmq.DEALER)
                peer.setsockopt(zmq.IDENTITY, b'a')
                peer.connect(f'tcp://{b.mesh.address}')
                await peer.send(encode(1, ConfigurationRequest(version)))
                await until(partial(started.__contains__, version))
            former_may_end.set()
            await until(lambda: len(ended) == 1)
            await peer.send(encode(0, CancelQuestion(1)))
            await until(lambda: cancelled == [1])
        finally:
            context.destroy(0)


MALFORMED = [
    b'',
    b'\x00',
    b'\xc1',
    b'[1]',
    b'\x92\x00\x92\x63\x01',
    b'x' * 99,
    b'\x9f\x00\x92\x01' + b'\x91' * 5000,
]


async def test_malformed_frames_are_counted_and_ignored() -> None:
    async with fleet('a', 'b') as (a, b):
        context = zmq.asyncio.Context()
        sender = context.socket(zmq.DEALER)
        sender.connect(f'tcp://{a.mesh.address}')
        for frame in MALFORMED:
            await sender.send(frame)
        await sender.send_multipart([b'two', b'frames'])
        await until(lambda: a.mesh.counters.malformed == len(MALFORMED) + 1)
        await until_connected(b, 'a')
        await until(lambda: a.heartbeats)
        context.destroy(0)


async def test_both_sides_count_the_same_bytes() -> None:
    async with fleet('a', 'b') as (a, b):
        b.mesh.on_question(ConfigurationRequest, answer_after_delay)
        await until_connected(a, 'b')
        await a.mesh.ask('b', ConfigurationRequest(1), LONG_TIMEOUT)
        await until(lambda: a.bytes['sent'] == b.bytes['received'])
        await until(lambda: b.bytes['sent'] == a.bytes['received'])
        assert a.bytes['sent'] > 0


async def answer_configuration(
    _peer: str, request: ConfigurationRequest
) -> Message:
    return ConfigurationAnswer(request.version)


def block_at_answer(node: Node, peer: Node, then: Callable[[], object]) -> None:
    """Block the event loop for longer than the timeout as an answer arrives."""
    connection: Any = node.mesh.pool.get(peer.name)
    receive = connection._receive

    def receive_and_block(envelope: Envelope) -> None:
        receive(envelope)
        if isinstance(envelope.message, ConfigurationAnswer):
            time.sleep(2 * SHORT_TIMEOUT.total_seconds())
            then()

    connection._receive = receive_and_block


async def test_an_answer_that_arrives_as_the_time_ends_is_not_lost() -> None:
    async with fleet('a', 'b') as (asker, peer):
        peer.mesh.on_question(ConfigurationRequest, answer_configuration)
        block_at_answer(asker, peer, lambda: None)
        answer = await asker.mesh.ask(
            'b', ConfigurationRequest(7), SHORT_TIMEOUT
        )
        assert answer == ConfigurationAnswer(7)


async def test_an_answer_that_arrives_as_the_asker_leaves_is_handled() -> None:
    async with fleet('a', 'b') as (asker, peer):
        late: list[Message] = []
        asker.mesh.on_late_answer(
            ConfigurationRequest,
            lambda _peer, _question, answer: late.append(answer),
        )
        peer.mesh.on_question(ConfigurationRequest, answer_configuration)
        asking = asyncio.ensure_future(
            asker.mesh.ask('b', ConfigurationRequest(7), LONG_TIMEOUT)
        )
        block_at_answer(asker, peer, asking.cancel)
        await asyncio.gather(asking, return_exceptions=True)
        await until(lambda: late == [ConfigurationAnswer(7)])


_DROPPED_MESH = """
import asyncio, gc, sys, zmq
from bergamotshed.clock import SystemClock
from bergamotshed.routers.mesh import PeerMesh

async def build(address):
    mesh = PeerMesh('a', address, SystemClock(), lambda *_: None)
    if address:
        await mesh.start()

try:
    asyncio.run(build(sys.argv[1]))
except zmq.ZMQError:
    print('in use')
gc.collect()
"""


@pytest.mark.processes
@pytest.mark.parametrize('is_started', [False, True])
def test_a_mesh_that_could_not_start_does_not_block_its_process(
    is_started: bool,
) -> None:
    # A test run, or a router whose port was taken, hung for good.
    with socket.create_server(('127.0.0.1', 0)) as taken:
        address = f'127.0.0.1:{taken.getsockname()[1]}' if is_started else ''
        ended = subprocess.run(
            [sys.executable, '-c', _DROPPED_MESH, address],
            timeout=10,
            check=True,
            capture_output=True,
            text=True,
        )
    assert ended.stdout == ('in use\n' if is_started else '')
