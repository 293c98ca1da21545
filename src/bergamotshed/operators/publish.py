"""
bergamotshed.operators.publish
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Publishes a configuration through the log and finds out whether it won.
"""

__all__ = ('PublishOutcomeUnknown', 'PublishRefused', 'Published', 'publish')

import uuid
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock, SystemClock
from ..control.fold import NO_VERSION, ConfigurationFold
from ..control.records import (
    CONFIGURATION_STREAM,
    PublishDelta,
    PublishWhole,
    decode_record,
    encode_record,
)
from ..errors import BergamotshedError
from ..fleet import Fleet
from ..fleet.delta import compute_delta, sort_fleet
from ..log.types import Log, LogAnswerLost, LogPage, LogUnavailable, Record

MOST_TRIES = 10
RETRY_PAUSE = timedelta(milliseconds=500)


class PublishOutcomeUnknown(BergamotshedError):
    """The log went away before it could be read whether the publish won."""


@dataclass(frozen=True, slots=True)
class Published:
    """The configuration was accepted.

    :ivar version: its version
    """

    version: int


@dataclass(frozen=True, slots=True)
class PublishRefused:
    """The configuration was not accepted and never will be.

    :ivar current: the version to base a new try on; -1 for none
    :ivar detail: one sentence for a person
    """

    current: int
    detail: str


async def publish(
    log: Log,
    base: int,
    fleet: Fleet,
    *,
    publish_id: str = '',
    clock: Clock | None = None,
) -> Published | PublishRefused:
    """Publish a configuration that changes the version ``base``.

    :param base: the version in force that it was made from; -1 for none
    :param publish_id: made up unless given; a repeat of a publish carries
        the same and does no harm
    :raises LogUnavailable: nothing was published
    :raises PublishOutcomeUnknown: it may have been published
    """
    publisher = _Publisher(log, base, fleet, publish_id or uuid.uuid4().hex)
    return await publisher.run(clock or SystemClock())


class _Publisher:
    def __init__(
        self, log: Log, base: int, fleet: Fleet, publish_id: str
    ) -> None:
        self._log = log
        self._base = base
        self._fleet = sort_fleet(fleet)
        self._publish_id = publish_id
        self._fold = ConfigurationFold()
        self._nothing_kept = False
        self._outcome: Published | PublishRefused | None = None

    async def run(self, clock: Clock) -> Published | PublishRefused:
        """Read the stream, append unless it is in vain, and read back."""
        await self._read()
        refused = self._outcome or self._refusal()
        if refused is not None:
            return refused
        await self._append()
        for _ in range(MOST_TRIES):
            outcome = await self._try_to_settle()
            if outcome is not None:
                return outcome
            await clock.sleep(RETRY_PAUSE)
        raise PublishOutcomeUnknown(
            f'publish {self._publish_id}: the log went away; publish again '
            f'with the same base {self._base}, it runs at most once'
        )

    async def _try_to_settle(self) -> Published | PublishRefused | None:
        try:
            await self._read()
            if self._outcome is None:
                await self._append()
                await self._read()
        except LogUnavailable:
            return None
        return self._outcome

    async def _append(self) -> None:
        try:
            await self._log.append(CONFIGURATION_STREAM, self._encode())
        except LogAnswerLost:
            return

    async def _read(self) -> None:
        while True:
            page = await self._log.read(
                CONFIGURATION_STREAM, self._fold.position
            )
            self._take(page)
            if self._fold.position >= page.next:
                return

    def _take(self, page: LogPage) -> None:
        self._fold.skip_lost_records(page)
        self._nothing_kept = page.first == page.next
        for record in page.records:
            self._fold.apply_record(record.offset, record.payload)
            self._note_outcome(record)

    def _note_outcome(self, record: Record) -> None:
        parsed = decode_record(record.payload)
        if not isinstance(parsed, PublishWhole | PublishDelta):
            return
        if parsed.publish_id != self._publish_id or self._outcome is not None:
            return
        if self._fold.version == record.offset:
            self._outcome = Published(record.offset)
        else:
            self._outcome = self._lost()

    def _refusal(self) -> PublishRefused | None:
        known = self._fold.exact or self._nothing_kept
        if not known:
            return PublishRefused(
                self._fold.version,
                'the log no longer tells which version is in force; try '
                'again when the routers have refreshed it',
            )
        return None if self._base == self._fold.version else self._lost()

    def _lost(self) -> PublishRefused:
        current = self._fold.version
        return PublishRefused(
            current,
            f'not published: version {current} is in force, base '
            f'{self._base} is stale; look at {current} and publish with '
            f'--base={current}',
        )

    def _encode(self) -> bytes:
        read_to = self._fold.position
        whole = encode_record(
            PublishWhole(self._publish_id, self._base, read_to, self._fleet)
        )
        if self._base == NO_VERSION:
            return whole
        changes = compute_delta(self._fold.fleet, self._fleet)
        delta = encode_record(
            PublishDelta(self._publish_id, self._base, read_to, changes)
        )
        return min(delta, whole, key=len)
