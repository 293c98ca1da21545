"""
bergamotshed.telemetry
~~~~~~~~~~~~~~~~~~~~~~

Sets up the destinations of the structured log of a process.
"""

__all__ = ('setup_logging', 'setup_nonblocking_logging')

from typing import TextIO

from eliot import FileDestination, add_destinations, add_global_fields

from .clock import Clock
from .process.journal import Journal
from .process.logstream import LogStream


def setup_logging(stream: TextIO, name: str) -> Journal:
    """Write the log to a stream, one JSON object a line, and to a journal.

    :param stream: standard error, for a process on a VM without a disk
    :param name: the process's name, added to each message
    :returns: the journal, which keeps the newest log messages
    """
    journal = Journal()
    add_global_fields(router=name)
    add_destinations(FileDestination(file=stream), journal)
    return journal


def setup_nonblocking_logging(
    descriptor: int, name: str, clock: Clock
) -> tuple[Journal, LogStream]:
    """Write the log to a descriptor without ever blocking the process.

    :param name: the process's name, added to each message
    :returns: the journal, and the stream, whose ``run`` the caller must start
    """
    journal = Journal()
    stream = LogStream(descriptor, clock)
    add_global_fields(router=name)
    add_destinations(stream, journal)
    return journal, stream
