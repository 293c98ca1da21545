"""
bergamotshed.process.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the newest log messages in memory, to explain past decisions.
"""

__all__ = ('Journal', 'JournalEntry')

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from msgspec import msgpack

MAX_ENTRIES = 5000
ENGINE_FIELDS = ('engine', 'upstream')
METADATA_FIELDS = frozenset(('timestamp', 'task_uuid', 'task_level'))


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One logged event.

    :ivar task: id of the action to which the event belongs
    :ivar facts: the fields of the log message
    """

    time: datetime
    task: str
    facts: dict[str, Any]


class Journal:
    """An eliot destination that keeps the newest messages.

    :param max_entries: number of messages that are kept
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self._messages: deque[bytes] = deque(maxlen=max_entries)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Store one message."""
        self._messages.append(msgpack.encode(message, enc_hook=str))

    def of_request(self, request: str) -> tuple[JournalEntry, ...]:
        """Return the events of a request, oldest first."""
        entries = self._entries()
        tasks = {
            entry.task
            for entry in entries
            if entry.facts.get('request') == request
        }
        return tuple(entry for entry in entries if entry.task in tasks)

    def of_engine(self, engine: str) -> tuple[JournalEntry, ...]:
        """Return the events of an engine, oldest first."""
        return tuple(
            entry
            for entry in self._entries()
            if any(entry.facts.get(name) == engine for name in ENGINE_FIELDS)
        )

    def _entries(self) -> list[JournalEntry]:
        return [_entry(msgpack.decode(packed)) for packed in self._messages]


def _entry(message: dict[str, Any]) -> JournalEntry:
    return JournalEntry(
        time=datetime.fromtimestamp(message['timestamp'], UTC),
        task=message['task_uuid'],
        facts={
            name: field
            for name, field in message.items()
            if name not in METADATA_FIELDS
        },
    )
