"""A client's connection, which is kept open for many requests."""

import asyncio
import time


class Attempt:
    """One client attempt and how it ended.

    :ivar status: of the answer; 0 for none
    :ivar is_complete: the whole answer arrived
    """

    def __init__(self, attempt: str, address: str) -> None:
        self.attempt = attempt
        self.address = address
        self.sent_at = 0.0
        self.last_byte_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_complete = False
        self.ending = ''


class Connection:
    """A kept connection to one front address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_open = False
        self.used = 0
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def open(self) -> None:
        host, _, port = self.address.rpartition(':')
        async with asyncio.timeout(1):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        self.is_open = True

    def close(self) -> None:
        if self.is_open:
            self._writer.close()
        self.is_open = False

    @property
    def is_closed_by_peer(self) -> bool:
        return self._reader.at_eof()

    async def request(
        self,
        attempt: str,
        path: str,
        *,
        method: str = 'POST',
        key: str = 'key-1',
        deadline_ms: int = 4000,
        body: bytes = b'x',
        host: str = 'h.example',
        extra: tuple[str, ...] = (),
        leave_after_s: float | None = None,
    ) -> Attempt:
        result = Attempt(attempt, self.address)
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {host}',
            f'Bergamotshed-Attempt-Id: {attempt}',
            f'Bergamotshed-Deadline-Ms: {deadline_ms}',
            f'Content-Length: {len(body)}',
            *extra,
        ]
        if key:
            lines.append(f'Authorization: Bearer {key}')
        result.sent_at = time.monotonic()
        self.used += 1
        try:
            self._writer.write('\r\n'.join((*lines, '', '')).encode() + body)
            async with asyncio.timeout(leave_after_s or deadline_ms / 1000):
                await self._writer.drain()
                result.last_byte_at = time.monotonic()
                await self._read(result)
        except TimeoutError:
            result.ending = 'the client left' if leave_after_s else 'deadline'
            self.close()
        except (OSError, asyncio.IncompleteReadError) as error:
            result.ending = f'connection ended: {type(error).__name__}'
            self.close()
        result.ended_at = time.monotonic()
        return result

    async def _read(self, result: Attempt) -> None:
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *rest = head.strip().split('\r\n')
        result.status = int(first.split()[1])
        result.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(':') for line in rest)
        }
        if 'content-length' in result.headers:
            size = int(result.headers['content-length'])
            result.body = await self._reader.readexactly(size)
        else:
            while size := int(await self._reader.readuntil(b'\r\n'), 16):
                result.body += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        result.is_complete = True
        result.ending = f'status {result.status}'
        if result.headers.get('connection', '').lower() == 'close':
            self.close()


async def single(address: str, attempt: str, path: str, **options) -> Attempt:
    """Send one request on a new connection."""
    connection = Connection(address)
    try:
        await connection.open()
    except (OSError, TimeoutError) as error:
        result = Attempt(attempt, address)
        result.sent_at = result.ended_at = time.monotonic()
        result.ending = f'no connection: {type(error).__name__}'
        return result
    result = await connection.request(attempt, path, **options)
    connection.close()
    return result
