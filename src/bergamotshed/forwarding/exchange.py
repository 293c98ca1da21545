"""
bergamotshed.forwarding.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One HTTP exchange with an upstream: sends the request and reads the answer,
whole or event by event.
"""

__all__ = ('Exchange', 'ExchangeObserver')

import asyncio
from abc import ABC, abstractmethod
from datetime import timedelta

from ..decoding import parse_number
from ..upstreams.connection import UpstreamConnection
from ..upstreams.pool import ConnectionPool
from ..upstreams.types import (
    Delimitation,
    Instance,
    ReportedLoad,
    UpstreamAnswerBroken,
    UpstreamNotReached,
)
from .answer_relay import AnswerRelay
from .dialect import Dialect
from .events import EventStreamError
from .outcome import (
    HTTP_MULTIPLE_CHOICES,
    AttemptOutcome,
    AttemptResult,
)
from .types import (
    AnswerMetadata,
    AnswerSink,
    RequestMetadata,
    RoutedRequest,
    StreamedAnswer,
    UpstreamAnswer,
)

#: Answers other than event streams are buffered up to this size before they
#: are passed on; if one breaks off by then, the caller can still get a proper
#: failure or the answer of another attempt. A longer failure is broken.
MAX_BUFFERED_BYTES = 262_144
#: Bytes of the body of a refusal that are read, so that the connection can be
#: used again.
MAX_SKIPPED_BYTES = 65_536

HTTP_OK = 200
HTTP_MISDIRECTED = 421
#: Statuses of upstreams that did not run a request.
REFUSAL_STATUSES = frozenset((400, 408, HTTP_MISDIRECTED, 429, 503))
#: Statuses that tell a caller that a request did not run.
NOT_RUN_STATUSES = frozenset((408, HTTP_MISDIRECTED, 429, 503))
HTTP_SERVER_ERROR = 500


class ExchangeObserver(ABC):
    """Is notified while an answer arrives; override all methods."""

    @abstractmethod
    def record_load(self, instance: Instance, load: ReportedLoad) -> None:
        """Record the load that an upstream reported."""

    @abstractmethod
    def record_limits(
        self, instance: Instance, metadata: AnswerMetadata
    ) -> None:
        """Record how much an upstream says that it takes."""

    @abstractmethod
    def record_start(self, instance: Instance) -> None:
        """Record that an upstream has read the prompt and started to answer."""

    @abstractmethod
    def record_events(self, instance: Instance) -> None:
        """Record that whole events have arrived, before they are passed on."""


class Exchange:
    """Runs the HTTP exchanges of one request, one after the other.

    :param observer: is notified as soon as an answer's head is read
    :param repeatable: the request may run more than once
    :ivar relay: passes the answer on and records what the caller received
    :ivar answer_metadata: from the head of the current or last exchange's
        answer; ``None`` if there is none
    :ivar may_have_run: whether an upstream may have run the request, over all
        attempts so far
    """

    def __init__(
        self,
        request: RoutedRequest,
        sink: AnswerSink,
        dialect: Dialect,
        pool: ConnectionPool,
        observer: ExchangeObserver,
        *,
        repeatable: bool,
    ) -> None:
        self.relay = AnswerRelay(
            sink, parse_number(request.last_event_id or '')
        )
        self.answer_metadata: AnswerMetadata | None = None
        self.may_have_run = False
        self._request = request
        self._dialect = dialect
        self._pool = pool
        self._observer = observer
        self._is_repeatable = repeatable
        self._used_addresses: set[str] = set()

    async def run(
        self,
        instance: Instance,
        request_metadata: RequestMetadata,
        *,
        patience: timedelta | None,
    ) -> AttemptResult:
        """Send the request to an upstream and read its answer.

        :param patience: how long to wait for the answer's head before the
            upstream counts as silent; ``None`` for no timeout
        """
        self.answer_metadata = None
        self.relay.splitter.restart()
        try:
            connection = await self._pool.acquire(
                instance.address,
                repeatable=self._is_repeatable,
                # A repeated answer to an earlier attempt has the same id.
                must_be_new=instance.address in self._used_addresses,
            )
        except UpstreamNotReached as error:
            return AttemptResult(AttemptOutcome.NOT_SENT, str(error))
        is_reusable = False
        may_have_run_before = self.may_have_run
        try:
            result = await self._run_on_connection(
                connection, instance, request_metadata, patience
            )
            is_reusable = result.outcome is not AttemptOutcome.BROKEN
            if result.did_not_run:
                self.may_have_run = may_have_run_before
            return result
        finally:
            self._return_connection(connection, is_reusable=is_reusable)

    async def _run_on_connection(
        self,
        connection: UpstreamConnection,
        instance: Instance,
        request_metadata: RequestMetadata,
        patience: timedelta | None,
    ) -> AttemptResult:
        request = self._request
        last_id = self.relay.splitter.last_id
        if self.relay.is_started and last_id is not None:
            request = request.resumed_after(str(last_id))
        if not connection.send(
            self._dialect.write_head(request, request_metadata), request.body
        ):
            return AttemptResult(
                AttemptOutcome.NOT_SENT, 'the connection was closed'
            )
        self.may_have_run = True
        self._used_addresses.add(instance.address)
        try:
            async with asyncio.timeout(
                None if patience is None else patience.total_seconds()
            ):
                head = await connection.read_head()
        except UpstreamAnswerBroken as error:
            return self._broken_result(str(error))
        except TimeoutError:
            connection.close()
            return AttemptResult(AttemptOutcome.SILENT, 'no answer in time')
        self.answer_metadata = self._dialect.read_answer(head)
        if self.answer_metadata.load is not None:
            self._observer.record_load(instance, self.answer_metadata.load)
        flaw = self._find_flaw(
            self.answer_metadata, is_first=connection.request_count == 1
        )
        if flaw:
            return self._broken_result(flaw)
        if self.answer_metadata.status != HTTP_MISDIRECTED:
            self._observer.record_limits(instance, self.answer_metadata)
        if _is_success(self.answer_metadata):
            self._observer.record_start(instance)
        return await self._read_answer(
            connection, instance, self.answer_metadata
        )

    async def _read_answer(
        self,
        connection: UpstreamConnection,
        instance: Instance,
        metadata: AnswerMetadata,
    ) -> AttemptResult:
        try:
            if metadata.did_not_run or metadata.status == HTTP_MISDIRECTED:
                return await _read_refusal(connection, metadata)
            if metadata.is_event_stream and _is_success(metadata):
                return await self._relay_events(connection, instance, metadata)
            if self._would_promise(metadata):
                return await _read_unknown(connection, metadata)
            return await self._read_plain(connection, metadata)
        except (UpstreamAnswerBroken, EventStreamError) as error:
            return self._broken_result(str(error))

    def _would_promise(self, metadata: AnswerMetadata) -> bool:
        """Return whether the status would tell the caller of a request that
        may run once that it did not run.
        """
        return not self._is_repeatable and metadata.status in NOT_RUN_STATUSES

    def _find_flaw(self, metadata: AnswerMetadata, *, is_first: bool) -> str:
        """Return why the answer can't be passed on; empty if it can.

        :param is_first: nothing was answered on the connection before; later
            a refusal without an attempt id may be an earlier one, repeated
        """
        is_refusal = metadata.did_not_run or metadata.status == HTTP_MISDIRECTED
        is_unnamed_refusal = is_refusal and not metadata.attempt_id and is_first
        if (
            metadata.attempt_id != self._request.attempt_id
            and not is_unnamed_refusal
        ):
            return f'answer to another attempt {metadata.attempt_id!r}'
        if is_refusal:
            is_consistent = metadata.status in REFUSAL_STATUSES
            return '' if is_consistent else f'refused with {metadata.status}'
        if metadata.is_encoded:
            return 'encoded body'
        if _is_success(metadata) and not metadata.is_sealed:
            return 'success without the signature'
        return ''

    async def _relay_events(
        self,
        connection: UpstreamConnection,
        instance: Instance,
        metadata: AnswerMetadata,
    ) -> AttemptResult:
        relay = self.relay
        has_events = False
        while piece := await connection.read_part():
            try:
                events = relay.splitter.feed(piece)
            except EventStreamError as error:
                await self._relay_whole(instance, metadata, error.preceding)
                raise
            await self._relay_whole(instance, metadata, events)
            has_events |= bool(events)
        if not has_events and self._lacks_events(metadata):
            return self._broken_result(
                'the connection ended before the first event'
            )
        await relay.finish(metadata)
        return AttemptResult(
            AttemptOutcome.ANSWERED,
            '',
            StreamedAnswer(is_complete=True),
            is_answer_started=True,
        )

    async def _relay_whole(
        self, instance: Instance, metadata: AnswerMetadata, events: bytes
    ) -> None:
        """Pass whole events on, if there are any."""
        if events:
            self._observer.record_events(instance)
            await self.relay.send(metadata, events)

    def _lacks_events(self, metadata: AnswerMetadata) -> bool:
        """Return whether an empty stream ended without saying that it is.

        One that the caller itself resumes may have nothing left.
        """
        is_resumed_by_caller = (
            not self.relay.is_started
            and self._request.last_event_id is not None
        )
        return (
            metadata.delimitation is Delimitation.CONNECTION
            and not is_resumed_by_caller
        )

    async def _read_plain(
        self, connection: UpstreamConnection, metadata: AnswerMetadata
    ) -> AttemptResult:
        buffered = bytearray()
        while piece := await connection.read_part():
            buffered += piece
            if len(buffered) > MAX_BUFFERED_BYTES:
                break
        if self.relay.is_started:
            # A stream goes on with events only; the caller has its head.
            return AttemptResult(
                AttemptOutcome.FAILED,
                f'status {metadata.status} to a stream that goes on',
                is_answer_started=True,
            )
        if len(buffered) > MAX_BUFFERED_BYTES:
            if not _is_success(metadata):
                raise UpstreamAnswerBroken(
                    f'status {metadata.status} with over '
                    f'{MAX_BUFFERED_BYTES} bytes'
                )
            return await self._relay_large(connection, metadata, buffered)
        answer = UpstreamAnswer(
            metadata.status, metadata.caller_headers, bytes(buffered)
        )
        if metadata.status >= HTTP_SERVER_ERROR:
            return AttemptResult(
                AttemptOutcome.FAILED, f'status {metadata.status}', answer
            )
        return AttemptResult(AttemptOutcome.ANSWERED, '', answer)

    async def _relay_large(
        self,
        connection: UpstreamConnection,
        metadata: AnswerMetadata,
        buffered: bytearray,
    ) -> AttemptResult:
        await self.relay.send(metadata, bytes(buffered))
        while piece := await connection.read_part():
            await self.relay.send(metadata, piece)
        await self.relay.finish(metadata)
        return AttemptResult(
            AttemptOutcome.ANSWERED,
            '',
            StreamedAnswer(is_complete=True),
            is_answer_started=True,
        )

    def _broken_result(self, detail: str) -> AttemptResult:
        return AttemptResult(
            AttemptOutcome.BROKEN,
            detail,
            None,
            is_answer_started=self.relay.is_started,
        )

    def _return_connection(
        self, connection: UpstreamConnection, *, is_reusable: bool
    ) -> None:
        if is_reusable and self.answer_metadata is not None:
            self._pool.release(connection, self.answer_metadata.keep_alive_s)
        else:
            self._pool.discard(connection)


def _is_success(metadata: AnswerMetadata) -> bool:
    return HTTP_OK <= metadata.status < HTTP_MULTIPLE_CHOICES


async def _read_refusal(
    connection: UpstreamConnection, metadata: AnswerMetadata
) -> AttemptResult:
    await _skip_body(connection)
    if metadata.status == HTTP_MISDIRECTED:
        return AttemptResult(
            AttemptOutcome.MISDIRECTED, 'another upstream answered'
        )
    return AttemptResult(
        AttemptOutcome.NOT_RUN, f'refused with {metadata.status}'
    )


async def _read_unknown(
    connection: UpstreamConnection, metadata: AnswerMetadata
) -> AttemptResult:
    await _skip_body(connection)
    return AttemptResult(
        AttemptOutcome.FAILED,
        f'status {metadata.status} without saying that it did not run',
    )


async def _skip_body(connection: UpstreamConnection) -> None:
    """Read an answer to its end, so that the connection can be reused.

    :raises UpstreamAnswerBroken: its body is incomplete or too long
    """
    skipped = 0
    while piece := await connection.read_part():
        skipped += len(piece)
        if skipped > MAX_SKIPPED_BYTES:
            raise UpstreamAnswerBroken(
                f'a refusal of more than {MAX_SKIPPED_BYTES} bytes'
            )
