"""
bergamotshed.routers.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The connection to one peer; a single task reads its socket.
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

#: How long a question waits for the first connection to the peer.
CONNECT_TIMEOUT = timedelta(milliseconds=150)

#: Abandoned questions that are kept to match late answers.
MAX_ABANDONED_QUESTIONS = 1000

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

#: Called with the peer, the question and the answer that came late.
LateAnswerHandler = Callable[[str, Message, Message], None]


class PeerConnection:
    """Sends questions to one peer and matches its answers to them.

    :param count_bytes: called with the bytes sent and received
    :param on_late_answer: called for answers to abandoned questions
    :ivar last_used_at: when the pool last returned it, in monotonic seconds
    """

    def __init__(
        self,
        context: Context,
        node: str,
        peer: str,
        address: str,
        count_bytes: Callable[[int, int], None],
        on_late_answer: LateAnswerHandler,
    ) -> None:
        self._socket = _dealer_socket(context, node)
        self._peer = peer
        self._address = address
        self._count_bytes = count_bytes
        self._on_late_answer = on_late_answer
        self._question_numbers = count(1)
        self._pending: dict[int, asyncio.Queue[Message]] = {}
        self._abandoned: dict[int, Message] = {}
        self._task: asyncio.Task[None] | None = None
        self._hello_sent = asyncio.Event()
        self._has_connect_timed_out = False
        self.last_used_at: float = 0

    @property
    def address(self) -> str:
        """Return the peer's ``ip:port``."""
        return self._address

    def start(self, hello: Hello) -> None:
        """Connect, send the hello and start the task that reads answers."""
        self._socket.connect(f'tcp://{self._address}')
        self._task = asyncio.create_task(self._run(hello))

    def close(self) -> None:
        """Close at once; open questions fail."""
        if self._task is not None:
            self._task.cancel()
        for answers in self._pending.values():
            answers.put_nowait(AnswerFailed())
        self._socket.close(0)

    def send(self, question: int, message: Message) -> bool:
        """Queue a message; return whether the peer is connected and its
        queue has room.
        """
        if self._socket.closed or not self._hello_sent.is_set():
            return False
        frame = encode(question, message)
        send_result = self._socket.send(frame, zmq.NOBLOCK)
        future = cast('asyncio.Future[object]', send_result)
        if future.done() and future.exception() is not None:
            return False
        self._count_bytes(len(frame) + FRAME_OVERHEAD_BYTES, 0)
        return True

    async def ask(
        self, message: Message, timeout: timedelta, pending_timeout: timedelta
    ) -> Message | NoAnswer:
        """Send a question and wait for the answer; on a timeout or when
        cancelled, cancel the question at the peer.

        :param timeout: how long to wait for the answer or an
            :class:`AnswerPending`
        :param pending_timeout: how long to wait for the answer after an
            :class:`AnswerPending`
        """
        question = next(self._question_numbers)
        answers: asyncio.Queue[Message] = asyncio.Queue()
        self._pending[question] = answers
        answer: Message | None = None
        try:
            await self._wait_connected(timeout)
            if not self.send(question, message):
                return self._no_answer(NoAnswerReason.UNREACHABLE, False)
            answer = await _next_answer(answers, timeout)
            if isinstance(answer, AnswerPending):
                answer = None
                answer = await _next_answer(answers, pending_timeout)
        finally:
            self._pending.pop(question)
            if answer is None:
                self._give_up(question, message, answers)
        if answer is None:
            return self._no_answer(NoAnswerReason.SILENT, True)
        if isinstance(answer, AnswerFailed | AnswerPending):
            return self._no_answer(NoAnswerReason.FAILED, True)
        return answer

    async def _wait_connected(self, timeout: timedelta) -> None:
        """Wait for the first connection.

        Once it has timed out, and after a lost connection, later questions
        don't wait.
        """
        limit = min(timeout, CONNECT_TIMEOUT)
        if self._hello_sent.is_set() or self._has_connect_timed_out:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(limit.total_seconds()):
                await self._hello_sent.wait()
                return
        self._has_connect_timed_out = True

    def _give_up(
        self,
        question: int,
        message: Message,
        answers: 'asyncio.Queue[Message]',
    ) -> None:
        """Abandon a question, or handle an answer that arrived meanwhile."""
        while not answers.empty():
            answer = answers.get_nowait()
            if not isinstance(answer, AnswerPending):
                self._on_late_answer(self._peer, message, answer)
                return
        self._abandon(question, message)

    def _abandon(self, question: int, message: Message) -> None:
        if self.send(0, CancelQuestion(question)):
            self._abandoned[question] = message
        if len(self._abandoned) > MAX_ABANDONED_QUESTIONS:
            self._abandoned.pop(next(iter(self._abandoned)))

    def _no_answer(self, reason: NoAnswerReason, is_sent: bool) -> NoAnswer:
        return NoAnswer(self._peer, reason, is_sent)

    async def _run(self, hello: Hello) -> None:
        frame = encode(0, hello)
        await self._socket.send(frame)
        self._hello_sent.set()
        self._count_bytes(len(frame) + FRAME_OVERHEAD_BYTES, 0)
        while True:
            frame = await self._socket.recv()
            self._count_bytes(0, len(frame) + FRAME_OVERHEAD_BYTES)
            with suppress(PeerMessageError):
                self._receive(decode(frame))

    def _receive(self, envelope: Envelope) -> None:
        answers = self._pending.get(-envelope.question)
        if answers is not None:
            answers.put_nowait(envelope.message)
            return
        if isinstance(envelope.message, AnswerPending):
            return
        question = self._abandoned.pop(-envelope.question, None)
        if question is not None:
            self._on_late_answer(self._peer, question, envelope.message)


def _dealer_socket(context: Context, node: str) -> Socket:
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.IDENTITY, node.encode())
    for name, number in _SOCKET_OPTIONS.items():
        socket.setsockopt(name, number)
    return socket


async def _next_answer(
    answers: asyncio.Queue[Message], timeout: timedelta
) -> Message | None:
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            return await answers.get()
    except TimeoutError:
        # The answer may have arrived in the iteration in which the time ended.
        return None if answers.empty() else answers.get_nowait()
