"""Requests around a planned stop, which ends with SIGKILL after the grace
period; the gateway runs in a separate process.
"""

import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from tests.standins.keyedstore import KeyedStoreStandIn
from tests.standins.rawupstream import RawRequest, RawUpstream, sealed_answer
from tests.waiting import until

from .support import HOST, KEY, RawResponse, Script, send_request
from .test_process import GatewayProcess, gateway_process, publish

pytestmark = pytest.mark.processes

GRACE_S = 2.0
#: Part of the grace period in which any request is accepted.
ACCEPT_ALL_S = GRACE_S * 3 / 8
#: Timeout of the route of most tests, and how long upstreams work.
TIMEOUT_MS = 400
WORK_S = 0.35
INTERVAL_S = 0.01
#: Size of an answer, how long a slow caller waits until it reads it, and when
#: it asks for it: shortly before a stop may end.
LARGE_BYTES = 250_000
READ_PAUSE_S = 0.5
LATE_S = 0.8
REQUEST_HEAD = (
    'POST /once/a HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {key}\r\n'
    'Bergamotshed-Attempt-Id: a1\r\nConnection: close\r\n\r\n'
)
#: Stated by the users: time after which a request must not be cut that no
#: upstream got.
LOSS_SLACK_S = 0.2


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and what its caller got.

    :ivar after_s: seconds from the signal until it was sent
    :ivar took_s: seconds until the answer or the end of the connection
    """

    attempt: str
    after_s: float
    took_s: float
    response: RawResponse


@dataclass(slots=True)
class Stop:
    """A gateway that is stopped while requests come.

    :ivar signalled_at: when SIGTERM was sent, in monotonic seconds
    """

    gateway: GatewayProcess
    upstream: RawUpstream
    signalled_at: float = 0
    sent: list[Sent] = field(default_factory=list)

    @property
    def lost(self) -> list[Sent]:
        """Return the requests that were cut though an upstream got them or
        the router had time to refuse them.
        """
        passed_on = {request.attempt for request in self.upstream.requests}
        return [
            each
            for each in self.sent
            if each.response.cut
            and (each.attempt in passed_on or each.took_s > LOSS_SLACK_S)
        ]

    def since_signal(self) -> float:
        return time.monotonic() - self.signalled_at

    def terminate(self) -> None:
        self.gateway.running.send_signal(signal.SIGTERM)
        self.signalled_at = time.monotonic()

    async def send(self, path: str, deadline_ms: int) -> None:
        """Send a request; one that is not accepted any more is left out."""
        after_s = self.since_signal()
        attempt = f'a{after_s:.6f}'
        try:
            response = await send_request(
                self.gateway.ports['callers'],
                path,
                attempt=attempt,
                headers={'Bergamotshed-Deadline-Ms': str(deadline_ms)},
            )
        except OSError:
            return
        took_s = self.since_signal() - after_s
        self.sent.append(Sent(attempt, after_s, took_s, response))

    async def send_until_killed(self, path: str, *deadlines_ms: int) -> None:
        """Send requests until the grace period is over, then kill."""
        tasks = []
        while (left_s := GRACE_S - self.since_signal()) > 0:
            for deadline_ms in deadlines_ms:
                task = asyncio.create_task(self.send(path, deadline_ms))
                tasks.append(task)
            await asyncio.sleep(min(INTERVAL_S, left_s))
        await self.gateway.kill()
        await asyncio.gather(*tasks)


async def works(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(WORK_S)
    writer.write(sealed_answer(request))


async def never_ends(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(10 * GRACE_S)


@asynccontextmanager
async def serving_gateway(
    tmp_path: Path, script: Script = works, timeout_ms: int = TIMEOUT_MS
) -> AsyncIterator[Stop]:
    async with (
        KeyedStoreStandIn().serving() as store,
        RawUpstream(script).serving() as upstream,
        gateway_process(tmp_path, store.address, GRACE_S) as gateway,
    ):
        await publish(store, upstream, timeout_ms)
        await until(gateway.is_ready)
        yield Stop(gateway, upstream)


@pytest.mark.parametrize('paused_s', [0.3, 0.9, 1.4])
async def test_a_router_that_was_paused_at_the_signal_cuts_no_request(
    paused_s: float, tmp_path: Path
) -> None:
    # The grace period was counted from the end of the pause.
    async with serving_gateway(tmp_path) as stop:
        await send_request(stop.gateway.ports['callers'], '/once/a')
        stop.gateway.running.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        stop.terminate()
        await asyncio.sleep(paused_s)
        stop.gateway.running.send_signal(signal.SIGCONT)
        await stop.send_until_killed('/once/a', TIMEOUT_MS)
        assert stop.sent
        assert not stop.lost


async def test_a_router_that_was_paused_before_the_signal_still_serves(
    tmp_path: Path,
) -> None:
    async with serving_gateway(tmp_path) as stop:
        await send_request(stop.gateway.ports['callers'], '/once/a')
        stop.gateway.running.send_signal(signal.SIGSTOP)
        await asyncio.sleep(GRACE_S)
        stop.gateway.running.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.5)
        stop.terminate()
        await stop.send_until_killed('/once/a', TIMEOUT_MS)
        early = [each for each in stop.sent if each.after_s < ACCEPT_ALL_S / 2]
        assert {each.response.status for each in early} == {200}
        assert not stop.lost


async def large(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(request, b'z' * LARGE_BYTES))


async def read_slowly(port: int) -> int:
    """Return how many bytes of an answer's body arrive at a slow caller."""
    caller = socket.socket()
    # The kernel of neither side holds much of the answer.
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, ('127.0.0.1', port))
    head = REQUEST_HEAD.format(host=HOST, key=KEY).encode()
    await loop.sock_sendall(caller, head)
    await asyncio.sleep(READ_PAUSE_S)
    received = bytearray()
    with caller, suppress(ConnectionError):
        while piece := await loop.sock_recv(caller, 2048):
            received += piece
    return len(bytes(received).partition(b'\r\n\r\n')[2])


async def test_answers_that_are_still_sent_in_a_planned_stop_are_whole(
    tmp_path: Path,
) -> None:
    # The process ended once its requests had been answered, but not yet sent.
    async with serving_gateway(tmp_path, large) as stop:
        stop.terminate()
        await asyncio.sleep(LATE_S)
        port = stop.gateway.ports['callers']
        sizes = await asyncio.gather(*(read_slowly(port) for _ in range(8)))
        assert sizes == [LARGE_BYTES] * 8


@pytest.mark.parametrize('path', ['/once/a', '/twice/a'])
async def test_requests_of_any_length_are_answered_in_a_planned_stop(
    path: str, tmp_path: Path
) -> None:
    # Requests that upstreams still ran at the end were cut with no answer.
    async with serving_gateway(tmp_path, never_ends, 20_000) as stop:
        stop.signalled_at = time.monotonic()
        before = asyncio.create_task(stop.send(path, 20_000))
        await until(lambda: stop.upstream.requests)
        stop.terminate()
        await stop.send_until_killed(path, 200, 700, 20_000)
        await before
        assert not stop.lost
        assert not any(each.response.status == 200 for each in stop.sent)
        latest = max(
            each.after_s for each in stop.sent if each.response.status == 504
        )
        assert latest > ACCEPT_ALL_S
