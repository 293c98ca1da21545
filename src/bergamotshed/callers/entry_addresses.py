"""
bergamotshed.callers.entry_addresses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects and orders the addresses of the fleet that a caller should use.
"""

__all__ = ('EntryAddresses', 'EntryAddressesSource', 'FleetEntryAddresses')

from abc import ABC, abstractmethod
from dataclasses import dataclass
from hashlib import blake2b

from ..control.types import ConfigurationInForce
from ..routing.view import FleetView, RouterNode


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Addresses in the order in which to try them.

    :ivar lifetime: seconds for which the answer may be cached
    """

    addresses: tuple[str, ...]
    lifetime: int


class EntryAddressesSource(ABC):
    """Returns the addresses to use; override :meth:`addresses_for`."""

    @abstractmethod
    def addresses_for(self, caller: str) -> EntryAddresses:
        """Return the addresses for a caller.

        :param caller: a text that differs between callers; it determines the
            order, so that callers are spread over the routers
        """


class FleetEntryAddresses(EntryAddressesSource):
    """Returns the routers that are neither leaving nor suspect.

    Without such routers it returns those that are not leaving, else all: an
    address that may work is better than none.
    """

    def __init__(
        self, view: FleetView, configuration: ConfigurationInForce
    ) -> None:
        self._view = view
        self._configuration = configuration

    def addresses_for(self, caller: str) -> EntryAddresses:
        """Return the addresses in an order that differs between callers."""
        routers = self._view.routers()
        not_leaving = [router for router in routers if not router.leaving]
        healthy = [router for router in not_leaving if not router.suspect]
        ordered = sorted(
            healthy or not_leaving or routers,
            key=lambda router: _rank(caller, router),
        )
        return EntryAddresses(
            tuple(router.callers for router in ordered),
            self._configuration.fleet.entries_lifetime,
        )


def _rank(caller: str, router: RouterNode) -> bytes:
    return blake2b(f'{caller}\n{router.name}'.encode()).digest()
