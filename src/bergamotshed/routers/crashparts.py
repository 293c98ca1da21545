"""
bergamotshed.routers.crashparts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds what keeps requests that crash upstreams from running again.
"""

__all__ = ('CrashParts', 'build_crash_parts')

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..routing.hashing import is_first
from ..routing.part_quarantine import PartQuarantine
from ..routing.quarantine import (
    DEFAULT_CRASH_LIMIT,
    DEFAULT_TTL,
    Quarantine,
)
from ..routing.view import RouterView
from .confirmednotices import ConfirmedNotices
from .crashes import CrashExchange
from .mesh import PeerMesh
from .partanswers import PartAnswers


@dataclass(frozen=True, slots=True)
class CrashParts:
    """The quarantine and what shares its reports with the other routers."""

    quarantine: Quarantine
    exchange: CrashExchange
    answers: PartAnswers


def build_crash_parts(
    name: str,
    mesh: PeerMesh,
    view: RouterView,
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
    parts = PartQuarantine(
        clock, lambda part: is_first(part, name, live_routers())
    )
    quarantine = Quarantine(clock, limit, ttl, parts)
    notices = ConfirmedNotices(name, mesh, view, clock)
    return CrashParts(
        quarantine,
        CrashExchange(mesh, notices, quarantine, clock),
        PartAnswers(mesh, notices, parts, clock),
    )
