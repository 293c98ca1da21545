"""
bergamotshed.forwarding.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Splits an event stream into whole events and checks that none is missing or
incomplete.
"""

__all__ = (
    'EventFormatError',
    'EventIncompleteError',
    'EventOrderError',
    'EventSplitter',
    'EventStreamError',
    'EventTooLongError',
)

import re

from ..decoding import parse_number
from ..errors import BergamotshedError

# A line ends with CRLF, LF or CR; the two bytes of a CRLF are one line end.
_LINE_END = rb'(?:\r\n|\n|\r(?!\n))'
# A CR at the end of the data may be half of a CRLF, unless it follows a CR.
_BOUNDARY = re.compile(_LINE_END + rb'(?:\r\n|\n|\r(?!\n|\Z))' + rb'|\r\r')
_EVENT_ID = re.compile(rb'(?:\A|[\r\n])id:[ \t]*(\d+)[ \t]*[\r\n]')
#: Two line ends of two bytes.
MAX_BOUNDARY_BYTES = 4
MAX_EVENT_BYTES = 131_072
_FIELD_NAME = rb'(?:id|event|data|retry)'
#: Lines of an event: fields that the format does not define, then comments and
#: fields that it defines.
_EVENT_LINES = re.compile(
    rb'(?:(?!%b:)[a-z][a-z0-9-]*+:[^\r\n]*+%b)*+' % (_FIELD_NAME, _LINE_END)
    + rb'(?:(?:%b?:[^\r\n]*+|%b)?%b)*+' % (_FIELD_NAME, _FIELD_NAME, _LINE_END)
)
_DATA = re.compile(rb'(?:\A|[\r\n])data[:\r\n]')
#: What may follow the last event: empty lines and whole comments.
_BETWEEN_EVENTS = re.compile(rb'(?:(?::[^\r\n]*)?' + _LINE_END + rb')*')


class EventStreamError(BergamotshedError):
    """Base class of the errors of an event stream.

    :ivar preceding: the whole events before the error
    """

    preceding: bytes = b''


class EventOrderError(EventStreamError):
    """An event is missing or came out of order."""


class EventFormatError(EventStreamError):
    """An event has a line that is no field, or lacks its id.

    An upstream that breaks off a stream without a length may write an error
    after it.
    """


class EventIncompleteError(EventStreamError):
    """The stream ended inside an event, so it was broken off."""


class EventTooLongError(EventStreamError):
    """An event is longer than any that is passed on."""


class EventSplitter:
    """Returns whole events in order, across the streams of several upstreams.

    :ivar last_id: id of the last event returned; ``None`` before the first
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return bytes(self._rest)

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that the piece completes, joined.

        Events whose ids were returned before are left out.

        :raises EventFormatError: the bytes are no event
        :raises EventOrderError: an event is missing
        :raises EventTooLongError: an event does not end
        """
        # A boundary may have begun in the bytes before.
        searched = max(0, len(self._rest) - MAX_BOUNDARY_BYTES + 1)
        self._rest += piece
        whole: list[bytes] = []
        try:
            self._take_whole(searched, whole)
        except EventStreamError as error:
            error.preceding = b''.join(whole)
            raise
        return b''.join(whole)

    def finish(self) -> bytes:
        """Return the bytes after the last event, at the end of the stream.

        :raises EventIncompleteError: they are part of an event
        """
        if _BETWEEN_EVENTS.fullmatch(self._rest) is None:
            raise EventIncompleteError('the stream ended inside an event')
        return self.rest

    def restart(self) -> None:
        """Discard an incomplete event before another upstream resumes."""
        self._rest.clear()

    def _take_whole(self, searched: int, whole: list[bytes]) -> None:
        """Move whole events that were not returned before to a list."""
        start = 0
        for boundary in _BOUNDARY.finditer(self._rest, searched):
            event = bytes(self._rest[start : boundary.end()])
            start = boundary.end()
            if self._is_next(event):
                whole.append(event)
        del self._rest[:start]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f'an event is longer than {MAX_EVENT_BYTES} bytes'
            )

    def _is_next(self, event: bytes) -> bool:
        if _EVENT_LINES.fullmatch(event) is None:
            raise EventFormatError('a line that is no field of an event')
        found = _EVENT_ID.search(event)
        if found is None:
            self._check_lacks_id(event)
            return True
        number = parse_number(found[1].decode())
        if number is None:
            raise EventOrderError(f'an id of {len(found[1])} digits')
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number != self.last_id + 1:
                raise EventOrderError(
                    f'event {number} follows event {self.last_id}'
                )
        self.last_id = number
        return True

    def _check_lacks_id(self, event: bytes) -> None:
        """Check bytes without an id; data may only precede the first id."""
        if self.last_id is not None and _DATA.search(event):
            raise EventFormatError(f'no id after event {self.last_id}')
