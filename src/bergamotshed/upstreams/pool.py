"""
bergamotshed.upstreams.pool
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Pools idle connections to upstreams for reuse.
"""

__all__ = ('ConnectionPool', 'PoolOptions')

import asyncio
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..sockets import enable_keepalive
from .connection import UpstreamConnection
from .reach import UpstreamReach
from .types import UpstreamNotReached

SWEEP_INTERVAL = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """Limits of the pool.

    :ivar connect_timeout: how long connecting may take
    :ivar idle_limit: longest idle time of a connection; short, as a request
        on a connection that the upstream has just closed has an unknown
        outcome
    :ivar idle_share: share of the keep-alive time announced by the upstream
        that is used
    :ivar fresh_limit: idle time up to which a connection is used for a
        request that must not be repeated
    """

    connect_timeout: timedelta = timedelta(milliseconds=500)
    idle_limit: timedelta = timedelta(seconds=2)
    idle_share: float = 0.5
    fresh_limit: timedelta = timedelta(milliseconds=1000)


class ConnectionPool:
    """Reuses connections, the most recently used first.

    :ivar opened_count: connections opened so far
    :ivar reach: which upstreams could be connected to
    """

    def __init__(self, options: PoolOptions, clock: Clock) -> None:
        self._options = options
        self.reach = UpstreamReach(clock)
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._open: Counter[str] = Counter()
        self.opened_count = 0

    def open_count(self, address: str) -> int:
        """Return the number of open connections to an upstream."""
        return self._open[address]

    async def acquire(
        self, address: str, *, repeatable: bool, must_be_new: bool = False
    ) -> UpstreamConnection:
        """Return an open connection with no request in flight.

        :param repeatable: the request may be sent again if the connection
            turns out to be closed
        :param must_be_new: no request was sent on the connection before
        :raises UpstreamNotReached: connecting failed or timed out
        """
        connection = None
        if not must_be_new:
            connection = self._take_idle(address, repeatable=repeatable)
        return connection or await self._connect(address)

    async def probe(self, address: str) -> None:
        """Check an upstream by opening and closing a connection.

        :raises UpstreamNotReached: connecting failed or timed out
        """
        self.discard(await self._connect(address))

    def release(
        self, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Keep a connection for the next request, or close it.

        :param keep_alive_s: seconds for which the upstream keeps an idle
            connection open; zero if it closes it, ``None`` if unknown
        """
        if not connection.is_reusable or keep_alive_s == 0:
            self._discard(connection)
            return
        limit_s = self._options.idle_limit.total_seconds()
        if keep_alive_s is not None:
            limit_s = min(limit_s, keep_alive_s * self._options.idle_share)
        connection.idle_since = self._clock.monotonic()
        connection.idle_limit_s = limit_s
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection whose exchange failed or was abandoned."""
        self._discard(connection)

    def sweep(self) -> None:
        """Close connections that were idle for too long; call periodically."""
        now = self._clock.monotonic()
        for address, connections in tuple(self._idle.items()):
            usable = [
                connection
                for connection in connections
                if connection.is_reusable
                and now - connection.idle_since <= connection.idle_limit_s
            ]
            for connection in set(connections).difference(usable):
                self._discard(connection)
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            self.sweep()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                self._discard(connection)
        self._idle.clear()

    def _take_idle(
        self, address: str, *, repeatable: bool
    ) -> UpstreamConnection | None:
        """Return the connection that was used last, if it can still be used."""
        now = self._clock.monotonic()
        fresh_limit_s = self._options.fresh_limit.total_seconds()
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            idle_s = now - connection.idle_since
            if not connection.is_reusable or idle_s > connection.idle_limit_s:
                self._discard(connection)
            elif repeatable or idle_s <= fresh_limit_s:
                return connection
            else:
                connections.append(connection)
                break
        return None

    def _discard(self, connection: UpstreamConnection) -> None:
        connection.close()
        self._open[connection.address] -= 1
        if self._open[connection.address] <= 0:
            del self._open[connection.address]

    async def _connect(self, address: str) -> UpstreamConnection:
        try:
            connection = await self._open_connection(address)
        except UpstreamNotReached:
            self.reach.record_unreached(address)
            raise
        self.reach.record_reached(address)
        self.opened_count += 1
        self._open[address] += 1
        return connection

    async def _open_connection(self, address: str) -> UpstreamConnection:
        host, _, port = address.rpartition(':')
        connection = UpstreamConnection(address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(
                self._options.connect_timeout.total_seconds()
            ):
                transport, _protocol = await loop.create_connection(
                    lambda: connection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise UpstreamNotReached(f'{address}: {error!r}') from error
        sock = transport.get_extra_info('socket')
        if sock is not None:
            enable_keepalive(sock)
        return connection
