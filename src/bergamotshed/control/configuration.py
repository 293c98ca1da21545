"""
bergamotshed.control.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the configuration in force up to date from the log, and from other
routers while the log can't be read or its retention has dropped records.
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
from ..log.types import Log, LogPage, LogUnavailable
from .fold import ConfigurationFold
from .records import CONFIGURATION_STREAM, Refresh, decode_record
from .types import ConfigurationInForce

LONG_POLL_TIMEOUT = timedelta(seconds=10)
ZERO = timedelta(0)
OUTAGE_RETRY_INTERVAL = timedelta(milliseconds=500)
#: Limits the rate of reads if the log answers long polls early.
MIN_POLL_S = 0.5
PULL_INTERVAL = timedelta(seconds=1)
#: How long to collect the peers' versions before one is put in force.
PEERS_TIMEOUT = timedelta(seconds=3)

ConfigurationPull = Callable[[int], Awaitable[tuple[int, Fleet] | None]]


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """State of the follower, for the state dump.

    :ivar version: version in force; -1 for none
    :ivar position: offset of the record to be read next
    :ivar exact: whether the outcome of each publish before it is known
    :ivar log_reached: whether the last read of the log succeeded
    :ivar caught_up: whether the end of the log, as seen by the first read,
        was reached
    """

    version: int
    position: int
    exact: bool
    log_reached: bool
    caught_up: bool


class ConfigurationFollower:
    """Follows the configuration stream until it is cancelled.

    Nothing is put in force before the log's end, as seen by the first read,
    was reached, so that a restarted router skips older versions. If the log
    can't be read, the newest version among the peers is put in force after
    ``PEERS_TIMEOUT``, which leaves them time to answer.

    :param configuration: receives the accepted versions
    :param pull: returns a version newer than the one passed to it, from the
        peer that has the newest; ``None`` if there is none
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
        self._initial_end: int | None = None
        self._caught_up = False
        self._log_reached = False
        self._outage_start: float | None = None
        self._refreshed_at: float | None = None

    @property
    def refresh_age(self) -> timedelta | None:
        """Return the age of the newest refresh record; ``None`` for none."""
        if self._refreshed_at is None:
            return None
        return timedelta(seconds=self._clock.monotonic() - self._refreshed_at)

    @property
    def fold(self) -> ConfigurationFold:
        """Return the fold of the records read so far."""
        return self._fold

    @property
    def status(self) -> ConfigurationStatus:
        """Return the current state."""
        return ConfigurationStatus(
            version=self._configuration.version,
            position=self._fold.position,
            exact=self._fold.exact,
            log_reached=self._log_reached,
            caught_up=self._caught_up,
        )

    @property
    def _can_put_in_force(self) -> bool:
        if self._caught_up:
            return True
        if self._outage_start is None:
            return False
        outage = self._clock.monotonic() - self._outage_start
        return outage >= PEERS_TIMEOUT.total_seconds()

    async def run(self) -> None:
        """Follow the log and the peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_log())
            tasks.create_task(self._follow_peers())

    async def read_log(self) -> None:
        """Read new records once, by a long poll when caught up.

        :raises LogUnavailable: the log can't be read now
        """
        wait = (
            LONG_POLL_TIMEOUT if self._log_reached and self._caught_up else ZERO
        )
        try:
            page = await self._log.read(
                CONFIGURATION_STREAM, self._fold.position, wait=wait
            )
        except LogUnavailable as error:
            self._record_outage(error)
            raise
        self._apply_page(page)

    async def pull_from_peers(self) -> None:
        """Pull once a newer version from the peers."""
        if self._pull is None:
            return
        try:
            newer = await self._pull(self._fold.version)
        except BergamotshedError as error:
            log_message('configuration.pull_failed', why=str(error))
            return
        if newer is not None:
            self._fold.adopt(*newer)
        self._put_in_force('peer')

    async def _follow_log(self) -> None:
        while True:
            started = self._clock.monotonic()
            previous = self._fold.position
            try:
                await self.read_log()
            except LogUnavailable:
                await self._clock.sleep(OUTAGE_RETRY_INTERVAL)
                continue
            # Avoids a busy loop if the log answers long polls early.
            is_idle = self._fold.position == previous
            if is_idle and self._clock.monotonic() < started + MIN_POLL_S:
                await self._clock.sleep(OUTAGE_RETRY_INTERVAL)

    async def _follow_peers(self) -> None:
        while self._pull is not None:
            await self.pull_from_peers()
            await self._clock.sleep(PULL_INTERVAL)

    def _apply_page(self, page: LogPage) -> None:
        self._log_reached = True
        self._outage_start = None
        if self._initial_end is None:
            self._initial_end = page.next
        was_exact = self._fold.exact
        self._fold.apply_page(page)
        self._record_refresh_time(page)
        if was_exact and not self._fold.exact:
            log_message('configuration.records_lost', first=page.first)
        self._caught_up = (
            self._caught_up or self._fold.position >= self._initial_end
        )
        self._put_in_force('log')

    def _record_refresh_time(self, page: LogPage) -> None:
        for record in page.records:
            if isinstance(decode_record(record.payload), Refresh):
                age = self._clock.now() - record.time
                self._refreshed_at = self._clock.monotonic() - max(
                    0, age.total_seconds()
                )

    def _record_outage(self, error: LogUnavailable) -> None:
        if self._outage_start is None:
            log_message('configuration.log_unavailable', why=str(error))
            self._outage_start = self._clock.monotonic()
        self._log_reached = False

    def _put_in_force(self, source: str) -> None:
        if not self._can_put_in_force:
            return
        version = self._fold.version
        if self._configuration.advance(version, self._fold.fleet):
            log_message(
                'configuration.in_force', version=version, source=source
            )
