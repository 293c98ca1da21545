"""
bergamotshed.routers.inbox
~~~~~~~~~~~~~~~~~~~~~~~~~~

The bound socket that receives from all other routers; a single task reads it.
Each question is answered in a task of its own, because its handler may wait.
"""

__all__ = ('Inbox', 'MeshCounters')

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import cast

import zmq
from zmq.asyncio import Context, Socket

from ..sockets import RECEIVE_BUFFER_BYTES
from .errors import PeerMessageError
from .messages import AnswerFailed, AnswerPending, CancelQuestion, Message
from .options import (
    FRAME_OVERHEAD_BYTES,
    HANDSHAKE_TIMEOUT_MS,
    MAX_QUESTION_BYTES,
    RECEIVE_QUEUE_MESSAGES,
    SEND_QUEUE_MESSAGES,
)
from .wire import Envelope, decode, encode

#: Time without an answer after which the peer is told that it takes longer.
PENDING_DELAY = timedelta(milliseconds=20)

NoticeHandler = Callable[[str, object], None]
QuestionHandler = Callable[[str, object], Awaitable[Message]]

_QuestionKey = tuple[bytes, int]


@dataclass(slots=True)
class MeshCounters:
    """Errors on the sockets, for the state dump.

    :ivar malformed: frames that could not be decoded
    :ivar unexpected: messages without a handler
    :ivar dropped: messages that could not be sent
    :ivar late: answers to questions that were given up
    :ivar failed: handlers that raised an exception
    """

    malformed: int = 0
    unexpected: int = 0
    dropped: int = 0
    late: int = 0
    failed: int = 0


class Inbox:
    """Receives messages and sends answers on the connection of the question.

    :param address: ``ip:port`` to bind; port 0 takes any free port
    :param count_bytes: called with the bytes sent and received
    """

    def __init__(
        self,
        context: Context,
        address: str,
        count_bytes: Callable[[int, int], None],
        counters: MeshCounters,
    ) -> None:
        self.address = address
        self.notice_handlers: dict[type, NoticeHandler] = {}
        self.question_handlers: dict[type, QuestionHandler] = {}
        self._count_bytes = count_bytes
        self._counters = counters
        self._context = context
        self._socket: Socket | None = None
        self._answer_tasks: dict[_QuestionKey, asyncio.Task[None]] = {}
        self._receiver: asyncio.Task[None] | None = None

    @property
    def pending_answers(self) -> int:
        """Return the number of questions that are being answered."""
        return len(self._answer_tasks)

    def start(self) -> None:
        """Bind the socket and start receiving.

        :raises zmq.ZMQError: the address is in use
        """
        # Not created earlier: a context with an open socket blocks its thread
        # when it is collected.
        self._socket = _bound_socket(self._context, self.address)
        endpoint = cast(bytes, self._socket.getsockopt(zmq.LAST_ENDPOINT))
        self.address = endpoint.decode().removeprefix('tcp://')
        self._receiver = asyncio.create_task(self._receive(self._socket))

    async def close(self) -> None:
        """Stop receiving and cancel all pending answers."""
        tasks = list(self._answer_tasks.values())
        if self._receiver is not None:
            tasks.append(self._receiver)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close(0)

    async def _receive(self, receiving: Socket) -> None:
        while True:
            identity, *body = await receiving.recv_multipart()
            self._count_bytes(0, sum(map(len, body)) + FRAME_OVERHEAD_BYTES)
            try:
                self._dispatch(identity, body)
            except PeerMessageError:
                self._counters.malformed += 1
            except Exception:
                self._counters.failed += 1

    def _dispatch(self, identity: bytes, body: list[bytes]) -> None:
        if len(body) != 1:
            raise PeerMessageError('message must have exactly one frame')
        envelope = decode(body[0])
        message = envelope.message
        peer = identity.decode(errors='replace')
        if envelope.question > 0:
            self._start_answer(identity, peer, envelope)
        elif isinstance(message, CancelQuestion):
            self._cancel_answer(identity, message)
        else:
            self._notify(peer, message)

    def _notify(self, peer: str, message: Message) -> None:
        handler = self.notice_handlers.get(type(message))
        if handler is None:
            self._counters.unexpected += 1
        else:
            handler(peer, message)

    def _cancel_answer(self, identity: bytes, message: CancelQuestion) -> None:
        task = self._answer_tasks.get((identity, message.question))
        if task is not None:
            task.cancel()

    def _start_answer(
        self, identity: bytes, peer: str, envelope: Envelope
    ) -> None:
        handler = self.question_handlers.get(type(envelope.message))
        if handler is None:
            self._counters.unexpected += 1
            self._reply(identity, envelope.question, AnswerFailed())
            return
        key = (identity, envelope.question)
        task = asyncio.create_task(
            self._answer(key, handler(peer, envelope.message))
        )
        self._answer_tasks[key] = task
        task.add_done_callback(partial(self._forget_answer, key))

    def _forget_answer(
        self, key: _QuestionKey, task: 'asyncio.Task[None]'
    ) -> None:
        # A restarted peer numbers its questions from the start again.
        if self._answer_tasks.get(key) is task:
            self._answer_tasks.pop(key)

    async def _answer(
        self, key: _QuestionKey, handler_call: Awaitable[Message]
    ) -> None:
        pending = asyncio.get_running_loop().call_later(
            PENDING_DELAY.total_seconds(), self._reply, *key, AnswerPending()
        )
        answer: Message = AnswerFailed()
        try:
            answer = await handler_call
        except Exception:
            self._counters.failed += 1
        finally:
            pending.cancel()
        self._reply(*key, answer)

    def _reply(self, identity: bytes, question: int, answer: Message) -> None:
        if self._socket is None or self._socket.closed:
            return
        frame = encode(-question, answer)
        with suppress(zmq.ZMQError):
            send_result = self._socket.send_multipart(
                (identity, frame), zmq.NOBLOCK
            )
            future = cast('asyncio.Future[object]', send_result)
            future.add_done_callback(self._record_dropped)
            self._count_bytes(len(frame) + FRAME_OVERHEAD_BYTES, 0)

    def _record_dropped(self, future: 'asyncio.Future[object]') -> None:
        if not future.cancelled() and future.exception() is not None:
            self._counters.dropped += 1


def _bound_socket(context: Context, address: str) -> Socket:
    """Return a socket that listens on an address.

    :raises zmq.ZMQError: the address is in use
    """
    listening = _router_socket(context)
    try:
        listening.bind(f'tcp://{address}')
    except zmq.ZMQError:
        listening.close(0)
        raise
    return listening


def _router_socket(context: Context) -> Socket:
    socket = context.socket(zmq.ROUTER)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVBUF, RECEIVE_BUFFER_BYTES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_QUESTION_BYTES)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
    # A restarted router takes over its identity from its old connection.
    socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    return socket
