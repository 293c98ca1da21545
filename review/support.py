"""Stand-ins and helpers of the review's scripts; the standard library only.

The store, the engines and the clients speak what PROTOCOL.md says, on loopback
addresses. The gateways are the program of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = 'h.example'
RECORD_BYTES = 262_144
DEFAULT_MAX_KB = 1024
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: one line an event, with seconds since the start."""

    def __init__(self, directory):
        self._file = open(Path(directory) / 'record.txt', 'w', encoding='utf-8')
        self._started = time.monotonic()

    def __call__(self, *words):
        line = f'{time.monotonic() - self._started:8.3f} ' + ' '.join(
            map(str, words)
        )
        self._file.write(line + '\n')
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers, or None at a proper end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode('latin-1').strip().split('\r\n')
    headers = {}
    for line in rest:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        body = b''
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def reset(writer):
    """Close a connection with a reset."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class Server:
    """Serves HTTP/1.1; override handle()."""

    def __init__(self):
        self.address = ''
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            first, headers = head
            body = await read_body(reader, headers)
            method, target, _ = first.split(' ')
            await self.handle(method, target, headers, body, writer)
            await writer.drain()


class Store(Server):
    """The platform's store: keyed topics with one partition."""

    def __init__(self):
        super().__init__()
        self.records = {}
        self.era = 1
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a keyed record; return its size."""
        if not isinstance(value, bytes):
            value = json.dumps(value, separators=(',', ':')).encode()
        record = bytes((len(key),)) + key.encode() + value
        assert len(record) <= RECORD_BYTES, len(record)
        self.records.setdefault(topic, []).append((key, value, record))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(record)

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        if path == '/log-newest':
            answer = self._newest(query)
        elif path == '/log-append':
            answer = self._append(query, body)
        elif path == '/log-read':
            answer = await self._read(query)
        else:
            answer = 404, b'{}'
        status, content = answer
        writer.write(
            f'HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'.encode()
            + content
        )

    def _newest(self, query):
        held = self.records.get(query['topic'], [])
        newest = {}
        for offset, (key, value, _) in enumerate(held):
            newest[key] = (value, offset)
        keys = sorted(
            key
            for key, (value, _) in newest.items()
            if value and key > query.get('after', '')
        )
        page = keys[:500]
        entries = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][0]).decode(),
                'offset': newest[key][1],
            }
            for key in page
        ]
        return 200, json.dumps(
            {
                'entries': entries,
                'has_more': len(keys) > len(page),
                'end': len(held),
            }
        ).encode()

    def _append(self, query, body):
        topic = query['topic']
        offset = len(self.records.get(topic, []))
        while body:
            size = int.from_bytes(body[:4], 'big')
            record, body = body[4 : 4 + size], body[4 + size :]
            length = record[0]
            self.put(topic, record[1 : 1 + length].decode(), record[1 + length :])
        return 200, json.dumps(
            {'offset': offset, 'end': len(self.records.get(topic, []))}
        ).encode()

    async def _read(self, query):
        topic = query['topic']
        start = int(query['from'])
        if start > len(self.records.get(topic, [])):
            return 410, b'{"first_offset":0}'
        deadline = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while len(self.records.get(topic, [])) <= start:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        held = self.records.get(topic, [])
        limit = int(query.get('max_kb', DEFAULT_MAX_KB)) * 1024
        content = struct.pack('>QQ', len(held), 0)
        for _, _, record in held[start:]:
            framed = struct.pack('>I', len(record)) + record
            if len(content) > 16 and len(content) + len(framed) > limit:
                break
            content += framed
        return 200, content


class Proxy(Server):
    """Passes connections on; can reset all and refuse new ones."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.is_cut = False
        self._writers = set()

    def cut(self):
        """Reset all connections, and new ones until heal()."""
        self.is_cut = True
        for writer in list(self._writers):
            reset(writer)

    def heal(self):
        self.is_cut = False

    async def serve(self, reader, writer):
        if self.is_cut:
            reset(writer)
            return
        host, port = self.target.split(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pipe(reader, far_writer), self._pipe(far_reader, writer)
            )
        finally:
            self._writers -= pair
            far_writer.close()

    async def _pipe(self, reader, writer):
        try:
            while block := await reader.read(65_536):
                writer.write(block)
                await writer.drain()
            writer.close()
        except ConnectionError:
            reset(writer)


class Engine(Server):
    """An engine; `script` writes the answer, by default 200 'fine'.

    :ivar runs: attempt ids that began to run, with the time
    """

    def __init__(self, name, record, script=None):
        super().__init__()
        self.name = name
        self.record = record
        self.script = script
        self.runs = []

    def entry(self, service, zone='zone-a', state='ready', sequence=1, **more):
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': sequence,
            'born': 1_700_000_000_000,
            **more,
        }

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get('bergamotshed-attempt-id')
        if target == '/health':
            writer.write(
                f'HTTP/1.1 200 OK\r\nBergamotshed-Instance-Id: {self.name}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        expected = headers.get('bergamotshed-expect-instance', self.name)
        if expected != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\n'
                f'Bergamotshed-Instance-Id: {self.name}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        self.runs.append((time.monotonic(), attempt))
        self.record('engine', self.name, 'runs', attempt, method, target)
        if self.script is not None:
            await self.script(self, method, target, headers, body, writer)
        else:
            writer.write(sealed(attempt, b'fine'))


def sealed(attempt, body, status='200 OK', more=''):
    """Return the bytes of an engine's answer."""
    return (
        f'HTTP/1.1 {status}\r\nBergamotshed-Attempt-Id: {attempt}\r\n'
        f'Bergamotshed-Response-Seal: seal.{attempt}\r\n{more}'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )


class Answer:
    def __init__(self, status, headers=None, body=b'', is_cut=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_cut = is_cut

    def __str__(self):
        return f'{self.status or "closed"}{" cut" if self.is_cut else ""}'


async def call(
    address, path, attempt, method='POST', key=None, headers=None, body=b'',
    timeout=15,
):
    """Send one request on a new connection and read its answer."""
    host, port = address.split(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer(0, is_cut=True)
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines.append(f'Bergamotshed-Attempt-Id: {attempt}')
    if key is not None:
        lines.append(f'Authorization: Bearer {key}')
    for name, value in (headers or {}).items():
        lines.append(f'{name}: {value}')
    lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join((*lines, '', '')).encode() + body)
    try:
        async with asyncio.timeout(timeout):
            head = await read_head(reader)
            if head is None:
                return Answer(0, is_cut=True)
            first, got = head
            status = int(first.split()[1])
            try:
                return Answer(status, got, await read_body(reader, got))
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Answer(status, got, is_cut=True)
    except (TimeoutError, ConnectionError):
        return Answer(0, is_cut=True)
    finally:
        writer.close()


#: Bounds of the site fournaise-edge.
BOUNDS = {
    'grace_s': 8,
    'revoke_ms': 5000,
    'config_apply_ms': 2000,
    'drain_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_slack': 54,
    'retry_window_s': 10,
}


class Gateway:
    """One process of the deploy file's role, with a loopback address."""

    def __init__(self, name, number, store, directory, zone='zone-a'):
        self.name = name
        self.ip = _free_ip(number)
        self.callers = f'{self.ip}:8227'
        self.health = f'{self.ip}:8220'
        self.process = None
        self._path = Path(directory) / f'{name}.ini'
        self._log = Path(directory) / f'{name}.log'
        fields = {
            'node_name': name,
            'zone': zone,
            'region': 'region',
            'ip': self.ip,
            'bounds': BOUNDS,
            'listen': {
                'front': self.callers,
                'readiness_endpoint': self.health,
                'directory': f'{self.ip}:8224',
            },
            'internal_port_range': [7340, 7355],
            'platform': {
                'address': store,
                'reads_per_s': 2000,
                'writes_per_s': 400,
            },
        }
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        self._command = role['run'].split()
        template = (ROOT / role['template']).read_text()
        self._path.write_text(
            re.sub(r'{{(.*?)}}', lambda m: _look_up(fields, m[1]), template)
        )

    async def start(self):
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'BERGAMOTSHED_BOOT': str(self._path),
                },
            )

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await call(self.health, '/v1/health', 'h', 'GET', timeout=1)
        return answer.status == 200

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    def log_lines(self, kind):
        return [
            line
            for line in self._log.read_text(errors='replace').splitlines()
            if f'"{kind}"' in line
        ]


def _look_up(fields, path):
    value = fields
    for part in path.strip().split('.'):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return str(value)


def _free_ip(number):
    """Return a loopback address on which the gateway's ports are free."""
    for offset in range(50):
        high, low = divmod(os.getpid() + offset * 997, 250)
        ip = f'127.{40 + number}.{high % 250}.{low + 1}'
        try:
            for port in (8220, 8224, 8227, 7340, 7355, 9464):
                with socket.socket() as trial:
                    trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    trial.bind((ip, port))
        except OSError:
            continue
        return ip
    raise OSError('no free loopback address')


async def until(check, timeout, what):
    deadline = time.monotonic() + timeout
    while not await check():
        if time.monotonic() > deadline:
            raise TimeoutError(what)
        await asyncio.sleep(0.05)


def route(name, service, kind='non_idempotent', **more):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 300,
        'priority': 2,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_aim_ms': 300,
        **more,
    }


def service(name):
    return {
        'name': name,
        'health_path': '/health',
        'max_connections': 110,
        'protocol': 'h1',
        'tls': False,
    }


def configuration(version, routes, services, tenants):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants,
    }


def run_case(directory, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held."""
    record = Record(directory)

    async def guarded():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as scratch:
            async with contextlib.AsyncExitStack() as stack:
                try:
                    async with asyncio.timeout(110):
                        return await case(record, scratch, stack)
                finally:
                    if os.environ.get('KEEP_LOGS'):
                        for log in Path(scratch).glob('*.log'):
                            target = Path(os.environ['KEEP_LOGS']) / log.name
                            target.write_bytes(log.read_bytes())

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        record('the case could not run:', repr(error))
        print('could not run:', repr(error), file=sys.stderr)
        code = NOT_RUN
    record('exit', code)
    sys.exit(code)
