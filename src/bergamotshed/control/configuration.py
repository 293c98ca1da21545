"""
bergamotshed.control.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the configuration in force up to date from the log, and from other
routers while the log can't be read or has forgotten too much.
"""

__all__ = ('ConfigurationFollower', 'ConfigurationPull', 'ConfigurationStatus')

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..errors import BergamotshedError
from ..fleet import Fleet
from ..log.types import Log, LogUnavailable, Page
from .fold import ConfigurationFold
from .records import CONFIGURATION_STREAM, Refresh, decode_record
from .types import ConfigurationInForce

LONG_POLL = timedelta(seconds=10)
ZERO = timedelta(0)
OUTAGE_PAUSE = timedelta(milliseconds=500)
SHORT_POLL_S = 0.5
PULL_PAUSE = timedelta(seconds=1)
PEERS_PAUSE = timedelta(seconds=3)

ConfigurationPull = Callable[[int], Awaitable[tuple[int, Fleet] | None]]


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What the follower knows, for the state dump.

    :ivar position: offset to be read next
    :ivar exact: the outcome of each publish up to there is known
    :ivar log_reached: the last read of the log succeeded
    :ivar caught_up: the log's end was reached since the start
    """

    version: int
    position: int
    exact: bool
    log_reached: bool
    caught_up: bool


class ConfigurationFollower:
    """Follows the stream for as long as the process lives.

    Nothing is put in force before the log's end, as seen by the first read,
    was reached; a restarted router thus passes over older versions. If the
    log can't be read, the newest version among the peers is taken, once
    they had time to be heard.

    :param configuration: where accepted versions are put in force
    :param pull: gives a version newer than the one passed to it, from
        the peer that has the newest
    """

    def __init__(
        self,
        log: Log,
        configuration: ConfigurationInForce,
        clock: Clock,
        pull: ConfigurationPull | None = None,
    ) -> None:
        self._log = log
        self._configuration = configuration
        self._clock = clock
        self._pull = pull
        self._fold = ConfigurationFold()
        self._end: int | None = None
        self._caught_up = False
        self._log_reached = False
        self._outage_since: float | None = None
        self._copied_at: float | None = None

    @property
    def copy_age(self) -> timedelta | None:
        """Return the age of the newest whole copy; None for none seen."""
        if self._copied_at is None:
            return None
        return timedelta(seconds=self._clock.monotonic() - self._copied_at)

    @property
    def fold(self) -> ConfigurationFold:
        """Return the fold of the records read so far."""
        return self._fold

    @property
    def status(self) -> ConfigurationStatus:
        """Return what is known now."""
        return ConfigurationStatus(
            version=self._configuration.version,
            position=self._fold.position,
            exact=self._fold.exact,
            log_reached=self._log_reached,
            caught_up=self._caught_up,
        )

    @property
    def _may_put_in_force(self) -> bool:
        if self._caught_up:
            return True
        if self._outage_since is None:
            return False
        outage = self._clock.monotonic() - self._outage_since
        return outage >= PEERS_PAUSE.total_seconds()

    async def run(self) -> None:
        """Follow the log and the peers without end."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_log())
            tasks.create_task(self._follow_peers())

    async def read_log(self) -> None:
        """Read once what is new, waiting a while for it.

        :raises LogUnavailable: the log can't be read now
        """
        wait = LONG_POLL if self._log_reached and self._caught_up else ZERO
        try:
            page = await self._log.read(
                CONFIGURATION_STREAM, self._fold.position, wait=wait
            )
        except LogUnavailable as error:
            self._note_outage(error)
            raise
        self._take(page)

    async def pull_from_peers(self) -> None:
        """Take once what is newer among the peers."""
        if self._pull is None:
            return
        try:
            pulled = await self._pull(self._fold.version)
        except BergamotshedError as error:
            log_message('configuration.pull_failed', why=str(error))
            return
        if pulled is not None:
            self._fold.adopt(*pulled)
        self._put_in_force('peer')

    async def _follow_log(self) -> None:
        while True:
            started = self._clock.monotonic()
            before = self._fold.position
            try:
                await self.read_log()
            except LogUnavailable:
                await self._clock.sleep(OUTAGE_PAUSE)
                continue
            # A log that answers early must not be asked without end.
            idle = self._fold.position == before
            if idle and self._clock.monotonic() < started + SHORT_POLL_S:
                await self._clock.sleep(OUTAGE_PAUSE)

    async def _follow_peers(self) -> None:
        while self._pull is not None:
            await self.pull_from_peers()
            await self._clock.sleep(PULL_PAUSE)

    def _take(self, page: Page) -> None:
        self._log_reached = True
        self._outage_since = None
        if self._end is None:
            self._end = page.next
        was_exact = self._fold.exact
        self._fold.apply_page(page)
        self._note_copies(page)
        if was_exact and not self._fold.exact:
            log_message('configuration.records_lost', first=page.first)
        self._caught_up = self._caught_up or self._fold.position >= self._end
        self._put_in_force('log')

    def _note_copies(self, page: Page) -> None:
        for record in page.records:
            if isinstance(decode_record(record.payload), Refresh):
                age = self._clock.now() - record.time
                self._copied_at = self._clock.monotonic() - max(
                    0, age.total_seconds()
                )

    def _note_outage(self, error: LogUnavailable) -> None:
        if self._outage_since is None:
            log_message('configuration.log_unavailable', why=str(error))
            self._outage_since = self._clock.monotonic()
        self._log_reached = False

    def _put_in_force(self, source: str) -> None:
        if not self._may_put_in_force:
            return
        version = self._fold.version
        if self._configuration.advance(version, self._fold.fleet):
            log_message(
                'configuration.in_force', version=version, source=source
            )
