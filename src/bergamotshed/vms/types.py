"""
bergamotshed.vms.types
~~~~~~~~~~~~~~~~~~~~~~

The platform's list of VMs, which lags behind the real state.
"""

__all__ = ('Vm', 'VmList', 'VmListError', 'VmRole', 'VmState')

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from ..errors import BergamotshedError


class VmListError(BergamotshedError):
    """The VM list can't be read now."""


class VmRole(Enum):
    """What runs on a VM."""

    ROUTER = 'router'
    ENGINE = 'engine'
    PLAIN = 'plain'


class VmState(Enum):
    """State of a VM according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Vm:
    """One listed VM.

    :ivar address: ``ip:port`` on which it serves; for routers the address for
        callers
    """

    name: str
    role: VmRole
    service: str
    address: str
    domain: str
    region: str
    state: VmState


class VmList(ABC):
    """A client of the VM list; override the method."""

    @abstractmethod
    async def fetch(self) -> tuple[Vm, ...]:
        """Return the list; the same tuple object while unchanged.

        :raises VmListError: the list can't be read now
        """
