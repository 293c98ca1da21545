"""Stand-ins for the third review: store, engines, paths, clients, gateways.

The gateways are the project's own program, started with the command and the
settings template of the deploy file. Everything runs on loopback addresses and
on the real clock.
"""

import asyncio
import base64
import contextlib
import functools
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'booking.example'
KEY = 'key-of-tenant-a'
SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'

BOUNDS = {
    'grace_s': 8,
    'drain_ms': 2000,
    'contact_ms': 3000,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'budget_slack': 58,
}


#: How long before it serves an engine that starts again writes its entry.
LISTED_BEFORE_S = 0.1


class NotRunnable(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def add(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at, text))
        return at

    def write(self, path, verdict):
        with open(path, 'w') as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f'{at - self.start:9.3f} s  {text}\n')
            file.write(verdict + '\n')


class Store:
    """The platform's store: keyed topics of one partition each.

    An answer is sent as soon as there is a record, as the pages say.
    """

    def __init__(self):
        self.records = {}
        self.address = ''
        self._changed = asyncio.Event()
        self._servers = []

    async def start(self):
        self.address = await self.add_view({})

    async def add_view(self, ways):
        """Serve one machine; its paths to engines are those of ``ways``.

        :param ways: by the address of an engine, that of this machine's way
        """
        server = web.Server(functools.partial(self._handle, ways))
        listener = await asyncio.get_running_loop().create_server(
            server, '127.0.0.1', 0
        )
        self._servers.append((server, listener))
        return f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'

    async def stop(self):
        for server, listener in self._servers:
            listener.close()
            await server.shutdown(0.1)

    def put(self, topic, key, value):
        """Append a record; returns the time of the acknowledgement."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.records.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _handle(self, ways, request):
        await asyncio.sleep(0.002)
        topic = request.query.get('topic', '')
        if request.path == '/log-newest':
            return self._newest(ways, request, topic)
        if request.path == '/log-append':
            return await self._append(request, topic)
        if request.path == '/log-read':
            return await self._read(ways, request, topic)
        return web.json_response({}, status=404)

    def _newest(self, ways, request, topic):
        held = self.records.get(topic, [])
        newest = {}
        for offset, (key, value) in enumerate(held):
            newest[key] = (value, offset)
        keys = sorted(
            key
            for key, (value, _) in newest.items()
            if value and key > request.query.get('after', '')
        )
        entries = [
            {
                'key': key,
                'value': base64.b64encode(
                    _seen_through(ways, newest[key][0])
                ).decode(),
                'offset': newest[key][1],
            }
            for key in keys[:500]
        ]
        return web.json_response(
            {'entries': entries, 'has_more': len(keys) > 500, 'end': len(held)}
        )

    async def _append(self, request, topic):
        body = await request.read()
        if topic in {'keyed.op', 'keyed.servers'}:
            return web.json_response({}, status=403)
        offset = len(self.records.get(topic, []))
        while body:
            (size,) = struct.unpack_from('>I', body)
            record, body = body[4 : 4 + size], body[4 + size :]
            length = record[0]
            key = record[1 : 1 + length].decode()
            self.put(topic, key, record[1 + length :])
        end = len(self.records.get(topic, []))
        return web.json_response({'offset': offset, 'end': end})

    async def _read(self, ways, request, topic):
        start = int(request.query['from'])
        deadline = time.monotonic() + int(request.query.get('wait_ms', 0)) / 1e3
        if start > len(self.records.get(topic, [])):
            return web.json_response({'first_offset': 0}, status=410)
        while len(self.records.get(topic, [])) <= start:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        held = self.records.get(topic, [])
        body = struct.pack('>QQ', len(held), 0)
        for key, value in held[start:]:
            value = _seen_through(ways, value)
            record = bytes((len(key),)) + key.encode() + value
            body += struct.pack('>I', len(record)) + record
        return web.Response(body=body)


def _seen_through(ways, value):
    for address, way in ways.items():
        value = value.replace(address.encode(), way.encode())
    return value


class Way:
    """The path between two parties: a TCP proxy that can be cut.

    While it is cut nothing passes and new connections hang, as behind a
    partition; what was held up passes when it heals.
    """

    def __init__(self, target, host='127.0.0.1'):
        self.target = target
        self.host = host
        self.address = ''
        self.open = asyncio.Event()
        self.open.set()
        self._tasks = set()
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def refuse(self):
        """Reset all connections and refuse new ones."""
        self._server.close()
        self.reset_all()

    async def accept_again(self):
        self._server = await asyncio.start_server(
            self._accept, self.host, int(self.address.rsplit(':', 1)[1])
        )

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        host, port = self.target.rsplit(':', 1)
        try:
            await self.open.wait()
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            reset(writer)
            return
        finally:
            self._writers.discard(writer)
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pipe(reader, far_writer), self._pipe(far_reader, writer)
            )
        finally:
            self._writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pipe(self, reader, writer):
        try:
            while block := await reader.read(65536):
                await self.open.wait()
                writer.write(block)
                await writer.drain()
            await self.open.wait()
            writer.close()
        except (ConnectionError, OSError):
            reset(writer)


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class Request:
    """A request as an engine read it."""

    def __init__(self, line, headers, body):
        self.line = line
        self.headers = headers
        self.body = body
        self.id = headers.get('bergamotshed-attempt-id', '')


class Engine:
    """A sound engine of one service, which can be killed and started again.

    Its life is a list of incarnations; each writes its own entry to the store
    before it listens.
    """

    def __init__(self, name, service, store, record, version='v1', slots=64):
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.version = version
        self.slots = slots
        self.zone = 'zone-a'
        self.born = 0
        self.sequence = 0
        self.port = 0
        self.answer = None
        self.runs = []
        self.leaving = False
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self, version=None):
        """Start anew under the same id."""
        if version is not None:
            self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leaving = False
        if self.port:
            # An engine that starts again is listed a little before it serves.
            self.write_entry('ready')
            await asyncio.sleep(LISTED_BEFORE_S)
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self.port, backlog=1024
        )
        if not self.port:
            self.port = self._server.sockets[0].getsockname()[1]
            self.write_entry('ready')
        self.record.add(f'engine {self.name} starts, software {self.version}')

    def write_entry(self, state):
        self.sequence += 1
        return self.store.put(
            'keyed.servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': state,
                'cold_remaining_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            },
        )

    def remove_entry(self):
        return self.store.put('keyed.servers', self.name, b'')

    def kill(self):
        """End as by SIGKILL: reset all connections, listen no more."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()
        self.record.add(f'engine {self.name} is killed')

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                expected = request.headers.get('bergamotshed-expect-instance')
                if expected not in {None, self.name}:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\n'
                        b'Bergamotshed-Attempt-Id: ' + request.id.encode()
                        + b'\r\nContent-Length: 0\r\n\r\n'
                    )
                    continue
                self.runs.append((time.monotonic(), self.version, request))
                self.record.add(
                    f'engine {self.name} ({self.version}) runs {request.id}'
                    f' {request.line.rsplit(" ", 1)[0]}'
                    f' last-event {request.headers.get("last-event-id", "-")}'
                )
                await self.answer(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def head(self, request, status='200 OK', extra=()):
        lines = [
            f'HTTP/1.1 {status}',
            f'Bergamotshed-Attempt-Id: {request.id}',
            f'Bergamotshed-Response-Seal: {SEAL}',
            *extra,
        ]
        if self.leaving:
            lines.append('Server-Leaving: 1')
        return '\r\n'.join((*lines, '', '')).encode('latin-1')


async def read_request(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.strip('\r\n').split('\r\n')
    headers = {}
    for part in rest:
        name, _, value = part.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(line, headers, body)


async def answer_plain(engine, request, writer, body=b'{"ok":true}'):
    writer.write(
        engine.head(request, extra=(f'Content-Length: {len(body)}',)) + body
    )


class Gateway:
    """One process of the deploy file's role."""

    def __init__(
        self, number, store_address, directory, record, zone='zone-a'
    ):
        self.name = f'front-{number}'
        self.ip = f'127.{random.randrange(16, 250)}.{random.randrange(1, 250)}.{number + 1}'
        self.record = record
        self.process = None
        self.starts = 0
        ports = free_ports(self.ip, 6)
        self.fields = {
            'node_name': self.name,
            'zone': zone,
            'region': 'region',
            'ip': self.ip,
            'internal_port_range': ports[4:6],
            'listen': {
                'front': f'{self.ip}:{ports[0]}',
                'readiness_endpoint': f'{self.ip}:{ports[1]}',
                'directory': f'{self.ip}:{ports[2]}',
            },
            'limits': {'memory_mb': 560},
            'bounds': BOUNDS,
            'platform': {
                'address': store_address,
                'reads_per_s': 2000,
                'writes_per_s': 400,
            },
        }
        self.port = ports[0]
        self.ready_port = ports[1]
        self.path = Path(directory) / f'{self.name}.ini'
        self.log = Path(directory) / f'{self.name}.log'

    def write_settings(self):
        template = (ROOT / 'deploy' / 'gateway.ini').read_text()
        self.path.write_text(
            re.sub(r'\{\{([a-z_0-9.]+)\}\}', self._fill, template)
        )

    def _fill(self, match):
        value = self.fields
        for part in match[1].split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        return str(value)

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        if not (ROOT / 'target' / 'deps' / 'bergamotshed').is_dir():
            raise NotRunnable('target/deps is missing: run the build first')
        self.write_settings()
        if command[0] == 'python3':
            command[0] = sys.executable
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'BERGAMOTSHED_BOOT': str(self.path),
                    'BERGAMOTSHED_FIRST_START': (
                        'false' if self.starts else 'true'
                    ),
                },
                stdout=log,
                stderr=log,
            )
        self.starts += 1
        self.record.add(f'{self.name} starts')

    async def until_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.add(f'{self.name} is ready')
                return
            await asyncio.sleep(0.1)
        raise NotRunnable(f'{self.name} was not ready in {limit_s} s')

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                fetch(self.ip, self.ready_port, '/v1/health'), 1
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.startswith(b'HTTP/1.1 200')

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.add(f'{self.name} gets {signal.Signals(number).name}')

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def fetch(host, port, path):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'.encode()
        )
        return await reader.read()
    finally:
        writer.close()


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Answer:
    """What a client read of an answer."""

    def __init__(self, status=0, headers=None, body=b'', whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole

    def events(self):
        return re.findall(rb'id: ?(\d+)\ndata: ?([^\n]*)\n\n', self.body)


async def send(
    gateway,
    path,
    request_id,
    *,
    method='GET',
    body=b'',
    deadline_ms=4000,
    headers=(),
    key=KEY,
    raw=None,
):
    """Send one request on a new connection and read the answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.port
            )
            try:
                lines = [
                    f'{method} {path} HTTP/1.1',
                    f'Host: {HOST}',
                    f'Bergamotshed-Attempt-Id: {request_id}',
                    f'Bergamotshed-Deadline-Ms: {deadline_ms}',
                ]
                if key:
                    lines.append(f'Authorization: Bearer {key}')
                lines += headers
                if body or method == 'POST':
                    lines.append(f'Content-Length: {len(body)}')
                head = '\r\n'.join((*lines, '', '')).encode('latin-1')
                writer.write(head + body if raw is None else raw)
                await read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    return answer


async def read_answer(reader, answer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.strip('\r\n').split('\r\n')
    for part in rest:
        name, _, value = part.partition(':')
        answer.headers[name.strip().lower()] = value.strip()
    answer.status = int(line.split()[1])
    if 'content-length' in answer.headers:
        answer.body = await reader.readexactly(
            int(answer.headers['content-length'])
        )
        answer.whole = True
        return
    if answer.headers.get('transfer-encoding', '') != 'chunked':
        answer.whole = True
        return
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip() or b'0', 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            answer.whole = True
            return
        answer.body += piece[:-2]


def configuration(version, routes, services, tenants=None):
    """A configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'max_connections': 370, 'health_path': '/health'}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants
        or [{'name': 'tenant-a', 'api_keys': [KEY], 'priority': 1}],
    }


def route(name, prefix, service, kind, **fields):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'service': service,
        'kind': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 400,
        'priority': 1,
        'max_attempts': 2,
        **fields,
    }


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held."""
    record = Record()

    async def whole():
        with tempfile.TemporaryDirectory() as directory:
            async with contextlib.AsyncExitStack() as stack:
                async with asyncio.timeout(115):
                    broken = await case(record, directory, stack)
            logs = os.environ.get('KEEP_LOGS')
            if logs:
                for log in Path(directory).glob('*.log'):
                    Path(logs, log.name).write_bytes(log.read_bytes())
            return broken

    try:
        broken = asyncio.run(whole())
    except (NotRunnable, TimeoutError, OSError) as error:
        record.write(Path(folder) / 'record.txt', f'not run: {error!r}')
        print(f'not run: {error!r}')
        sys.exit(2)
    verdict = (
        'BROKEN: ' + '; '.join(broken[:8]) + f' ({len(broken)} in all)'
        if broken
        else 'held'
    )
    record.write(Path(folder) / 'record.txt', verdict)
    print(verdict)
    sys.exit(1 if broken else 0)


async def started(stack, part):
    """Start a part and stop it at the end of the case."""
    await part.start()
    stack.push_async_callback(part.stop)
    return part
