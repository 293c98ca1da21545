"""
bergamotshed.control.refresh
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Appends the configuration in force again before the log's retention drops
it; run by the control lease's holder.
"""

__all__ = ('ConfigurationRefresher',)

from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..log.types import Log, LogError
from .configuration import ConfigurationFollower
from .fold import NO_VERSION
from .leases import Lease
from .records import CONFIGURATION_STREAM, Refresh, encode_record

CHECK_INTERVAL = timedelta(seconds=1)
MIN_REMAINING_LEASE = timedelta(seconds=1)


class ConfigurationRefresher:
    """Keeps a complete copy of the configuration within the log's retention.

    A copy that a paused holder appends late is harmless: it names the
    version that was in force before a stated offset, and readers that know
    a newer version ignore it.

    :param max_age: age at which the copy is appended again
    """

    def __init__(
        self,
        log: Log,
        lease: Lease,
        follower: ConfigurationFollower,
        clock: Clock,
        max_age: timedelta,
    ) -> None:
        self._log = log
        self._lease = lease
        self._follower = follower
        self._clock = clock
        self._max_age = max_age

    async def run(self) -> None:
        """Refresh the copy whenever it is due, until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(CHECK_INTERVAL)

    async def step(self) -> None:
        """Refresh the copy if it is due and this process holds the lease."""
        if not self._is_due():
            return
        fold = self._follower.fold
        record = Refresh(fold.version, fold.position, fold.fleet)
        try:
            offset = await self._log.append(
                CONFIGURATION_STREAM, encode_record(record)
            )
        except LogError as error:
            log_message('configuration.refresh_failed', why=str(error))
            return
        log_message(
            'configuration.refreshed', version=fold.version, offset=offset
        )

    def _is_due(self) -> bool:
        fold = self._follower.fold
        if self._lease.remaining() < MIN_REMAINING_LEASE:
            return False
        if not (self._follower.status.caught_up and fold.exact):
            return False
        if fold.version == NO_VERSION:
            return False
        age = self._follower.refresh_age
        return age is None or age >= self._max_age
