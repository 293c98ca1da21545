"""
bergamotshed.routers.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The connection to one peer, with its one task.
"""

__all__ = ('LateAnswerHandler', 'PeerConnection')

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from itertools import count
from typing import cast

import zmq
from zmq.asyncio import Context, Socket

from .errors import NoAnswer, NoAnswerReason, PeerMessageError
from .messages import (
    AnswerFailed,
    AnswerPending,
    CancelQuestion,
    Hello,
    Message,
)
from .options import (
    FRAME_OVERHEAD_BYTES,
    MAX_FRAME_BYTES,
    MAX_RECONNECT_MS,
    MIN_RECONNECT_MS,
    RECEIVE_QUEUE_MESSAGES,
    SEND_QUEUE_MESSAGES,
    SOCKET_HEARTBEAT_MS,
    SOCKET_HEARTBEAT_TIMEOUT_MS,
)
from .wire import Envelope, decode, encode

#: How long a first question waits for its connection.
CONNECT_TIMEOUT = timedelta(milliseconds=150)

#: Questions given up that a late answer can still be matched to.
GIVEN_UP = 1000

_SOCKET_OPTIONS = {
    zmq.LINGER: 0,
    zmq.IMMEDIATE: 1,
    zmq.SNDHWM: SEND_QUEUE_MESSAGES,
    zmq.RCVHWM: RECEIVE_QUEUE_MESSAGES,
    zmq.MAXMSGSIZE: MAX_FRAME_BYTES,
    zmq.HEARTBEAT_IVL: SOCKET_HEARTBEAT_MS,
    zmq.HEARTBEAT_TIMEOUT: SOCKET_HEARTBEAT_TIMEOUT_MS,
    zmq.RECONNECT_IVL: MIN_RECONNECT_MS,
    zmq.RECONNECT_IVL_MAX: MAX_RECONNECT_MS,
}

#: Called with the peer, the question and its late answer.
LateAnswerHandler = Callable[[str, Message, Message], None]


class PeerConnection:
    """Asks one peer and matches its answers to the questions.

    :param count_bytes: called with the bytes sent and received
    :param late: takes answers that nobody waits for any more
    :ivar used_at: when it was last asked for, in monotonic seconds
    """

    def __init__(
        self,
        context: Context,
        node: str,
        peer: str,
        address: str,
        count_bytes: Callable[[int, int], None],
        late: LateAnswerHandler,
    ) -> None:
        self._socket = _dealer(context, node)
        self._peer = peer
        self._address = address
        self._count = count_bytes
        self._late = late
        self._numbers = count(1)
        self._waiting: dict[int, asyncio.Queue[Message]] = {}
        self._given_up: dict[int, Message] = {}
        self._task: asyncio.Task[None] | None = None
        self._greeted = asyncio.Event()
        self._is_late = False
        self.last_used_at: float = 0

    @property
    def address(self) -> str:
        """Return the peer's ``ip:port``."""
        return self._address

    def start(self, hello: Hello) -> None:
        """Connect, greet and read answers in a task of its own."""
        self._socket.connect(f'tcp://{self._address}')
        self._task = asyncio.create_task(self._run(hello))

    def close(self) -> None:
        """Close at once; what waits ends as closed."""
        if self._task is not None:
            self._task.cancel()
        for answers in self._waiting.values():
            answers.put_nowait(AnswerFailed())
        self._socket.close(0)

    def send(self, question: int, message: Message) -> bool:
        """Queue a message; return whether the peer is connected and keeps
        up.
        """
        if self._socket.closed or not self._greeted.is_set():
            return False
        frame = encode(question, message)
        sending = self._socket.send(frame, zmq.NOBLOCK)
        future = cast('asyncio.Future[object]', sending)
        if future.done() and future.exception() is not None:
            return False
        self._count(len(frame) + FRAME_OVERHEAD_BYTES, 0)
        return True

    async def ask(
        self, message: Message, timeout: timedelta, pending_timeout: timedelta
    ) -> Message | NoAnswer:
        """Ask and wait for the answer; a caller that stops waiting, or
        that is cancelled, cancels the question at the peer.
        """
        question = next(self._numbers)
        answers: asyncio.Queue[Message] = asyncio.Queue()
        self._waiting[question] = answers
        answer: Message | None = None
        try:
            await self._connected(timeout)
            if not self.send(question, message):
                return self._unanswered(NoAnswerReason.UNREACHABLE, False)
            answer = await _first_of(answers, timeout)
            if isinstance(answer, AnswerPending):
                answer = None
                answer = await _first_of(answers, pending_timeout)
        finally:
            self._waiting.pop(question)
            if answer is None:
                self._give_up(question, message)
        if answer is None:
            return self._unanswered(NoAnswerReason.SILENT, True)
        if isinstance(answer, AnswerFailed | AnswerPending):
            return self._unanswered(NoAnswerReason.FAILED, True)
        return answer

    async def _connected(self, timeout: timedelta) -> None:
        """Wait for the first connection, though not for a lost one."""
        limit = min(timeout, CONNECT_TIMEOUT)
        if self._greeted.is_set() or self._is_late:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(limit.total_seconds()):
                await self._greeted.wait()
                return
        self._is_late = True

    def _give_up(self, question: int, message: Message) -> None:
        if self.send(0, CancelQuestion(question)):
            self._given_up[question] = message
        if len(self._given_up) > GIVEN_UP:
            self._given_up.pop(next(iter(self._given_up)))

    def _unanswered(self, reason: NoAnswerReason, sent: bool) -> NoAnswer:
        return NoAnswer(self._peer, reason, sent)

    async def _run(self, hello: Hello) -> None:
        frame = encode(0, hello)
        await self._socket.send(frame)
        self._greeted.set()
        self._count(len(frame) + FRAME_OVERHEAD_BYTES, 0)
        while True:
            frame = await self._socket.recv()
            self._count(0, len(frame) + FRAME_OVERHEAD_BYTES)
            with suppress(PeerMessageError):
                self._take(decode(frame))

    def _take(self, envelope: Envelope) -> None:
        answers = self._waiting.get(-envelope.question)
        if answers is not None:
            answers.put_nowait(envelope.message)
            return
        if isinstance(envelope.message, AnswerPending):
            return
        question = self._given_up.pop(-envelope.question, None)
        if question is not None:
            self._late(self._peer, question, envelope.message)


def _dealer(context: Context, node: str) -> Socket:
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.IDENTITY, node.encode())
    for name, number in _SOCKET_OPTIONS.items():
        socket.setsockopt(name, number)
    return socket


async def _first_of(
    answers: asyncio.Queue[Message], timeout: timedelta
) -> Message | None:
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return await answers.get()
    except TimeoutError:
        return None
