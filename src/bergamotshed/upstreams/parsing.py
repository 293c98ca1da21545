"""
bergamotshed.upstreams.parsing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses the answer to one request and detects bytes that follow it.
"""

__all__ = (
    'AnswerParser',
    'distinct_values',
    'headers_by_name',
    'parse_keep_alive',
    'parse_load',
    'parse_pause',
)

from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from http import HTTPStatus

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from ..decoding import parse_amount, parse_numbers
from .types import (
    AnswerHead,
    Delimitation,
    Headers,
    ReportedLoad,
    UpstreamAnswerBroken,
)

#: Bytes of an answer that are no body: heads, interim answers, chunk lines and
#: trailers. Chunks add to what is allowed, as each has lines of its own.
MAX_FRAMING_BYTES = 131_072
MAX_FRAMING_PER_BODY_BYTE = 16

#: Beginning of a status line. Within a head it shows that the bytes of two
#: answers were joined.
STATUS_LINE_START = b'HTTP/1.'

#: Longest pause that an upstream gets.
MAX_PAUSE = timedelta(hours=1)
LOAD_FIELD_COUNT = 3

_BODILESS = frozenset((204, 304))
#: Statuses outside of these have no meaning in HTTP (RFC 9110, 15).
_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200


class AnswerParser:
    """Parses received bytes into the head and the pieces of the body.

    :param has_no_body: the answer ends with its head whatever its headers
        say, as the answer to a HEAD request does
    :ivar head: the head of the answer, once it is complete
    :ivar is_complete: the end of the body was received
    :ivar has_stray_bytes: bytes arrived that belong to no request
    :ivar keeps_connection_open: the upstream keeps the connection open
    :ivar buffered: number of body bytes that :meth:`take_body` has not
        returned yet
    """

    def __init__(self, *, has_no_body: bool = False) -> None:
        self.head: AnswerHead | None = None
        self.is_complete = False
        self.has_stray_bytes = False
        self.keeps_connection_open = True
        self.buffered = 0
        self._has_no_body = has_no_body
        self._parser = HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b''
        self._flaw = ''
        self._pieces: deque[bytes] = deque()
        self._received_bytes = 0
        self._body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises UpstreamAnswerBroken: they are not a valid answer, or too many
            of them are no body
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if self.is_complete:
                self.has_stray_bytes = True
                return
            raise UpstreamAnswerBroken(f'malformed answer: {error}') from error
        if self._flaw:
            raise UpstreamAnswerBroken(self._flaw)
        allowed = (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        )
        if self._received_bytes - self._body_bytes > allowed:
            raise UpstreamAnswerBroken(
                f'more than {allowed} bytes of head, chunk lines and trailer'
            )

    def receive_eof(self) -> None:
        """Treat the end of the connection as the end of an unsized body."""
        if (
            self.head is not None
            and self.head.delimitation is Delimitation.CONNECTION
        ):
            self.is_complete = True
            self.keeps_connection_open = False

    def take_body(self) -> bytes:
        """Return the part of the body received since the last call."""
        body = b''.join(self._pieces)
        self._pieces.clear()
        self.buffered = 0
        return body

    def on_message_begin(self) -> None:
        """Detect a second answer."""
        if self.is_complete:
            self.has_stray_bytes = True

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Build the head unless the answer is interim (1xx)."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        texts = (self._reason, *(value for _, value in headers))
        self._headers = []
        self._reason = b''
        if any(STATUS_LINE_START in text for text in texts):
            self._flaw = 'a status line within a head'
            return
        if status not in _STATUSES:
            self._flaw = f'{status} is no status'
            return
        if not self.has_stray_bytes and status >= _FIRST_FINAL_STATUS:
            self.head = AnswerHead(
                status, headers, _find_delimitation(status, headers)
            )
            if self._has_no_body:
                # The parser would wait for the body that the headers announce.
                self.is_complete = True
                self.keeps_connection_open = False

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body."""
        if not self.has_stray_bytes:
            self._pieces.append(body)
            self.buffered += len(body)
            self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Record the end of a sized body."""
        if self.head is not None:
            self.is_complete = True
            self.keeps_connection_open = self._parser.should_keep_alive()


def headers_by_name(headers: Headers) -> dict[bytes, bytes]:
    """Return the headers by lower-case name; the last of a name counts."""
    return {name.lower(): value for name, value in headers}


def distinct_values(headers: Headers, name: bytes) -> tuple[str, ...]:
    """Return the different values of all headers of a lower-case name."""
    values = (value for key, value in headers if key.lower() == name)
    return tuple(dict.fromkeys(value.decode('latin-1') for value in values))


def parse_keep_alive(by_name: Mapping[bytes, bytes]) -> float | None:
    """Return how long the sender keeps the connection open while it is idle.

    :param by_name: headers by lower-case name
    :returns: seconds; zero if it closes the connection, ``None`` if not stated
    """
    if b'close' in by_name.get(b'connection', b'').lower():
        return 0
    for parameter in by_name.get(b'keep-alive', b'').lower().split(b','):
        name, _, seconds = parameter.strip().partition(b'=')
        if name == b'timeout' and seconds.isdigit():
            return float(seconds)
    return None


def parse_pause(head: AnswerHead) -> timedelta:
    """Return for how long a 503 asks for no further requests.

    The longest of several ``Retry-After`` headers counts. What is no number of
    seconds, such as a date, asks for no pause.
    """
    if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return timedelta(0)
    values = distinct_values(head.headers, b'retry-after')
    seconds = [parse_amount(value.encode('latin-1')) or 0 for value in values]
    longest_s = min(max(seconds, default=0), MAX_PAUSE.total_seconds())
    return timedelta(seconds=longest_s)


def parse_load(value: bytes) -> ReportedLoad | None:
    """Return a load of running requests, waiting ones and slots, separated by
    commas; ``None`` if it is malformed.
    """
    numbers = parse_numbers(value.decode('latin-1'))
    return ReportedLoad(*numbers) if len(numbers) == LOAD_FIELD_COUNT else None


def _find_delimitation(status: int, headers: Headers) -> Delimitation:
    if status in _BODILESS:
        return Delimitation.NO_BODY
    names = headers_by_name(headers)
    if b'transfer-encoding' in names:
        return Delimitation.CHUNKS
    if b'content-length' in names:
        return Delimitation.LENGTH
    return Delimitation.CONNECTION
