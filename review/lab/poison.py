"""Engines that a request crashes, and the client that sends it again."""

import asyncio
import socket
import struct
import time

from .clients import Attempt, single
from .engines import Engine, Run
from .site import Site

POISON = b'{"oven":"poison"}'


class CrashingEngine(Engine):
    """Crashes soon after it begins to run the harmful request, like
    PROTOCOL.md says: its connections are reset, its port is closed, and a new
    incarnation with a new id is back some seconds later.

    :ivar crashes: (time, attempt, id) of each crash
    """

    def __init__(self, number: int, service: str, down_s: float) -> None:
        self.number = number
        self.incarnation = 0
        super().__init__(f'i-{number}-0', service)
        self.work_s = 0.05
        self.crash_s = 0.05
        self.down_s = down_s
        self.crashes: list[tuple[float, str, str]] = []
        self.site: Site
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task | None = None

    async def start(self, host: str) -> None:
        self.host = host
        self._server = await asyncio.start_server(
            self._accept, host, self.port, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{self.port}'

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        super()._accept(reader, writer)

    async def work(self, run: Run) -> None:
        if run.body != POISON:
            await asyncio.sleep(self.work_s)
        else:
            await asyncio.sleep(self.crash_s)
            run.end = 'crashed the engine'
            self.crashes.append((time.monotonic(), run.attempt, self.name))
            self.crash()
            await asyncio.sleep(3600)

    def crash(self) -> None:
        if self._server is not None:
            self._server.close()
        self._server = None
        for writer in self._writers:
            raw = writer.get_extra_info('socket')
            if raw is not None and not writer.is_closing():
                raw.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            writer.transport.abort()
        self._writers.clear()
        self._restart = asyncio.ensure_future(self._come_back())

    async def _come_back(self) -> None:
        former = self.name
        lapse_s = 3 * 1.2
        await asyncio.sleep(min(lapse_s, self.down_s))
        if self.down_s >= lapse_s:
            # Three heartbeat intervals of silence: the store drops the entry.
            self.site.store.put('keyed.servers', former, None)
        await asyncio.sleep(max(0, self.down_s - lapse_s))
        self.incarnation += 1
        self.name = f'i-{self.number}-{self.incarnation}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._free = asyncio.Semaphore(self.slots)
        await self.start(self.host)
        self.site.register(self)

    async def stop(self) -> None:
        if self._restart is not None:
            self._restart.cancel()
        await super().stop()


async def send_poison(
    site: Site,
    path: str,
    number: int,
    attempts: list[Attempt],
    deadline_ms: int = 1500,
    leave_after_s: float | None = None,
) -> None:
    """Send the harmful request at the next machine, with an id of its own.

    :param leave_after_s: the client closes its connection by then
    """
    gateway = site.gateways[number % len(site.gateways)]
    attempts.append(
        await single(
            gateway.front,
            f'poison-{number}',
            path,
            body=POISON,
            deadline_ms=deadline_ms,
            leave_after_s=leave_after_s,
        )
    )


def count_late(
    engines: list[CrashingEngine],
    attempts: list[Attempt],
    began_at: float,
    contact_s: float,
    starts: list[float],
) -> tuple[list[str], int, int]:
    """Return lines for the record, the crashes, and how many retries reached
    engines from machines in touch later than the contact time after the third
    crash.

    :param starts: when all machines had been killed and started again
    """
    crashes = sorted(each for engine in engines for each in engine.crashes)
    arrivals = sorted(
        each
        for engine in engines
        for each in engine.arrivals
        if each[1].startswith('poison')
    )
    lines = [
        f'{at - began_at:6.2f} s all machines started again' for at in starts
    ]
    for each in attempts:
        at = [
            f'{when - began_at:.2f} s'
            for when, attempt in arrivals
            if attempt == each.attempt
        ]
        lines.append(
            f'{each.sent_at - began_at:6.2f} s {each.attempt} to '
            f'{each.address}: {each.ending}, reached engines at {at}'
        )
    for when, attempt, name in crashes:
        lines.append(f'{when - began_at:6.2f} s {name} crashed on {attempt}')
    if len(crashes) < 3:
        return lines, len(crashes), 0
    third = crashes[2][0]
    late = [
        when
        for when, _ in arrivals
        if when > third + contact_s
        and not any(start - 1 <= when <= start + contact_s for start in starts)
    ]
    lines.append(
        f'third crash at {third - began_at:.2f} s; later than {contact_s} s '
        f'after it: {len(late)} retries reached engines'
    )
    return lines, len(crashes), len(late)


async def send_harmless(
    site: Site, path: str, pause_s: float, attempts: list[Attempt]
) -> None:
    """Send harmless requests until cancelled."""
    number = 0
    while True:
        gateway = site.gateways[number % len(site.gateways)]
        number += 1
        attempts.append(
            await single(
                gateway.front,
                f'harmless-{number}',
                path,
                body=b'{"oven":%d}' % number,
                deadline_ms=1500,
            )
        )
        await asyncio.sleep(pause_s)
