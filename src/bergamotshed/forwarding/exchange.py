"""
bergamotshed.forwarding.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One attempt at one upstream: sends the request and takes the answer, whole or
event by event.
"""

__all__ = ('AnswerRelay', 'Exchange', 'ExchangeObserver')

import asyncio
from abc import ABC, abstractmethod
from datetime import timedelta

from ..upstreams.connection import UpstreamConnection
from ..upstreams.pool import ConnectionPool
from ..upstreams.types import (
    Instance,
    ReportedLoad,
    UpstreamAnswerBroken,
    UpstreamNotReached,
)
from .dialect import Dialect
from .events import EventOrderError, EventSplitter
from .outcome import AttemptOutcome, AttemptResult
from .types import (
    AnswerMetadata,
    AnswerSink,
    RequestMetadata,
    RoutedRequest,
    StreamedAnswer,
    UpstreamAnswer,
)

#: Bytes of an answer that are gathered before it is passed on; a break
#: before that can still become a proper failure or another attempt.
GATHERED_BYTES = 262_144

HTTP_OK = 200
HTTP_MULTIPLE_CHOICES = 300
HTTP_MISDIRECTED = 421
HTTP_SERVER_ERROR = 500


class AnswerRelay:
    """What the caller has received so far, over all attempts.

    :param after_event: id of the last event that the caller already had
    """

    def __init__(self, sink: AnswerSink, after_event: int | None) -> None:
        self.splitter = EventSplitter(after_event)
        self.begun = False
        self._sink = sink

    async def pass_on(self, facts: AnswerMetadata, piece: bytes) -> None:
        """Send a piece, and the first upstream's head before it."""
        if not self.begun:
            self.begun = True
            await self._sink.start(facts.status, facts.caller_headers)
        if piece:
            await self._sink.write(piece)

    async def finish(self, facts: AnswerMetadata) -> None:
        """Send what remains and mark the answer as complete."""
        await self.pass_on(facts, self.splitter.rest)
        await self._sink.finish()

    def abort(self) -> None:
        """Break off."""
        self._sink.abort()


class ExchangeObserver(ABC):
    """Learns from an answer while it comes; override both methods."""

    @abstractmethod
    def record_load(self, instance: Instance, load: ReportedLoad) -> None:
        """Take what an upstream says of its load."""

    @abstractmethod
    def record_start(self, instance: Instance) -> None:
        """Take that an upstream has read the prompt and answers."""


class Exchange:
    """Runs attempts for one request.

    :ivar facts: what the last answer's head said; ``None`` without one
    :param observer: is told at once what the answer's head shows
    :ivar may_have_run: the request may have run, by all attempts so far
    """

    def __init__(
        self,
        request: RoutedRequest,
        relay: AnswerRelay,
        dialect: Dialect,
        pool: ConnectionPool,
        observer: ExchangeObserver,
    ) -> None:
        self.facts: AnswerMetadata | None = None
        self.may_have_run = False
        self._request = request
        self._relay = relay
        self._dialect = dialect
        self._pool = pool
        self._observer = observer

    async def run(
        self,
        instance: Instance,
        handover: RequestMetadata,
        *,
        repeatable: bool,
        patience: timedelta | None,
    ) -> AttemptResult:
        """Make one attempt.

        :param patience: how long to wait for the answer's head before the
            upstream counts as silent; ``None`` for as long as it takes
        """
        self.facts = None
        try:
            connection = await self._pool.acquire(
                instance.address, repeatable=repeatable
            )
        except UpstreamNotReached as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, str(error))
        done = False
        doubted = self.may_have_run
        try:
            attempted = await self._converse(
                connection, instance, handover, patience
            )
            done = attempted.outcome is not AttemptOutcome.BROKEN
            if attempted.did_not_run:
                self.may_have_run = doubted
            return attempted
        finally:
            self._give_back(connection, done=done)

    async def _converse(
        self,
        connection: UpstreamConnection,
        instance: Instance,
        handover: RequestMetadata,
        patience: timedelta | None,
    ) -> AttemptResult:
        request = self._request
        last = self._relay.splitter.last_id
        if self._relay.begun and last is not None:
            request = request.resumed_after(str(last))
        self._relay.splitter.restart()
        if not connection.send(self._dialect.write_request(request, handover)):
            return AttemptResult(
                AttemptOutcome.NOT_SENT, 'the connection was closed'
            )
        self.may_have_run = True
        try:
            async with asyncio.timeout(
                None if patience is None else patience.total_seconds()
            ):
                head = await connection.read_head()
        except UpstreamAnswerBroken as error:
            return self._broken(str(error))
        except TimeoutError:
            connection.close()
            return AttemptResult(AttemptOutcome.SILENT, 'no answer in time')
        self.facts = self._dialect.read_answer(head)
        if self.facts.load is not None:
            self._observer.record_load(instance, self.facts.load)
        flaw = self._flaw(self.facts)
        if flaw:
            return self._broken(flaw)
        if _is_success(self.facts):
            self._observer.record_start(instance)
        return await self._take(connection, self.facts)

    async def _take(
        self, connection: UpstreamConnection, facts: AnswerMetadata
    ) -> AttemptResult:
        try:
            if facts.did_not_run or facts.status == HTTP_MISDIRECTED:
                return await _take_refusal(connection, facts)
            if facts.is_event_stream and _is_success(facts):
                return await self._take_events(connection, facts)
            return await self._take_whole(connection, facts)
        except (UpstreamAnswerBroken, EventOrderError) as error:
            return self._broken(str(error))

    def _flaw(self, facts: AnswerMetadata) -> str:
        """Return why an answer can't be the one to this request."""
        refusal = facts.did_not_run or facts.status == HTTP_MISDIRECTED
        unnamed = refusal and not facts.attempt_id
        if facts.attempt_id != self._request.attempt_id and not unnamed:
            return f'answer to another attempt {facts.attempt_id!r}'
        if refusal:
            return ''
        if facts.is_encoded:
            return 'encoded body'
        if _is_success(facts) and not facts.is_sealed:
            return 'success without the signature'
        return ''

    async def _take_events(
        self, connection: UpstreamConnection, facts: AnswerMetadata
    ) -> AttemptResult:
        relay = self._relay
        while piece := await connection.read_part():
            events = relay.splitter.feed(piece)
            if events:
                await relay.pass_on(facts, events)
        await relay.finish(facts)
        return AttemptResult(
            AttemptOutcome.ANSWERED,
            '',
            StreamedAnswer(is_complete=True),
            is_answer_started=True,
        )

    async def _take_whole(
        self, connection: UpstreamConnection, facts: AnswerMetadata
    ) -> AttemptResult:
        gathered = bytearray()
        while piece := await connection.read_part():
            gathered += piece
            if len(gathered) > GATHERED_BYTES:
                return await self._pass_large(connection, facts, gathered)
        answer = UpstreamAnswer(
            facts.status, facts.caller_headers, bytes(gathered)
        )
        if facts.status >= HTTP_SERVER_ERROR:
            return AttemptResult(
                AttemptOutcome.FAILED, f'status {facts.status}', answer
            )
        return AttemptResult(AttemptOutcome.ANSWERED, '', answer)

    async def _pass_large(
        self,
        connection: UpstreamConnection,
        facts: AnswerMetadata,
        gathered: bytearray,
    ) -> AttemptResult:
        await self._relay.pass_on(facts, bytes(gathered))
        while piece := await connection.read_part():
            await self._relay.pass_on(facts, piece)
        await self._relay.finish(facts)
        return AttemptResult(
            AttemptOutcome.ANSWERED,
            '',
            StreamedAnswer(is_complete=True),
            is_answer_started=True,
        )

    def _broken(self, detail: str) -> AttemptResult:
        return AttemptResult(
            AttemptOutcome.BROKEN,
            detail,
            None,
            is_answer_started=self._relay.begun,
        )

    def _give_back(self, connection: UpstreamConnection, *, done: bool) -> None:
        if done and self.facts is not None:
            self._pool.release(connection, self.facts.keep_alive_s)
        else:
            self._pool.discard(connection)


def _is_success(facts: AnswerMetadata) -> bool:
    return HTTP_OK <= facts.status < HTTP_MULTIPLE_CHOICES


async def _take_refusal(
    connection: UpstreamConnection, facts: AnswerMetadata
) -> AttemptResult:
    """Read a refusal to its end, so that the connection can be kept."""
    piece = b'-'
    while piece:
        piece = await connection.read_part()
    if facts.status == HTTP_MISDIRECTED:
        return AttemptResult(
            AttemptOutcome.MISDIRECTED, 'another upstream answered'
        )
    return AttemptResult(AttemptOutcome.NOT_RUN, f'refused with {facts.status}')
