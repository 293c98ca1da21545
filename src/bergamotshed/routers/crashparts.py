"""
bergamotshed.routers.crashparts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds what keeps requests that crash upstreams from running again.
"""

__all__ = ('CrashParts', 'build_crash_parts')

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from ..clock import Clock
from ..routing.hashing import is_first
from ..routing.part_quarantine import PartQuarantine
from ..routing.quarantine import (
    DEFAULT_CRASH_LIMIT,
    DEFAULT_TTL,
    Quarantine,
)
from .confirmednotices import ConfirmedNotices
from .crashes import CrashExchange
from .mesh import PeerMesh
from .partanswers import PartAnswers


@dataclass(frozen=True, slots=True)
class CrashParts:
    """The quarantine and what shares its reports with the other routers.

    :ivar is_home: returns whether this router is the one that acts on a part
    """

    quarantine: Quarantine
    is_home: Callable[[int], bool]
    exchange: CrashExchange
    answers: PartAnswers


def build_crash_parts(
    name: str,
    mesh: PeerMesh,
    notices: ConfirmedNotices,
    live_routers: Callable[[], Iterable[str]],
    clock: Clock,
    limit: int = DEFAULT_CRASH_LIMIT,
    ttl: timedelta = DEFAULT_TTL,
) -> CrashParts:
    """Build and connect the parts.

    :param name: this router's name
    :param live_routers: returns the names of the routers that may be homes
    :param limit: see :class:`Quarantine`
    :param ttl: see :class:`Quarantine`
    """
    is_home = partial(_is_home, name, live_routers)
    parts = PartQuarantine(clock, is_home)
    quarantine = Quarantine(clock, limit, ttl, parts)
    return CrashParts(
        quarantine,
        is_home,
        CrashExchange(mesh, notices, quarantine, clock),
        PartAnswers(mesh, notices, parts, clock),
    )


def _is_home(
    name: str, live_routers: Callable[[], Iterable[str]], part: int
) -> bool:
    return is_first(part, name, live_routers())
