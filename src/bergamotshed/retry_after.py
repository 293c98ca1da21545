"""
bergamotshed.retry_after
~~~~~~~~~~~~~~~~~~~~~~~~

Converts between the HTTP header ``Retry-After`` and durations.
"""

__all__ = ('format_retry_after', 'parse_retry_after')

import math
from datetime import datetime, timedelta
from email.utils import parsedate_to_datetime

MAX_RETRY_AFTER_S = 3600


def parse_retry_after(header: str, now: datetime) -> timedelta | None:
    """Parse a header of seconds or an HTTP date.

    :param now: the current time, from which the duration to a date counts
    :returns: a duration of at most an hour; ``None`` if the header is empty,
        malformed or negative
    """
    if not header:
        return None
    try:
        seconds = float(header)
    except ValueError:
        seconds = _seconds_until(header, now)
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return timedelta(seconds=min(seconds, MAX_RETRY_AFTER_S))


def format_retry_after(duration: timedelta) -> str:
    """Format as whole seconds, rounded up, at least one."""
    return str(max(1, math.ceil(duration.total_seconds())))


def _seconds_until(header: str, now: datetime) -> float:
    try:
        return (parsedate_to_datetime(header) - now).total_seconds()
    except (TypeError, ValueError):
        return math.nan
