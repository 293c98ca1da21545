"""
bergamotshed.callers.entry_addresses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which of the fleet's addresses a caller should use.
"""

__all__ = ('EntryAddresses', 'EntryAddressesSource', 'FleetEntryAddresses')

from abc import ABC, abstractmethod
from dataclasses import dataclass
from hashlib import blake2b

from ..control.types import ConfigurationInForce
from ..routing.view import FleetView, RouterNode


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Addresses in the order to try.

    :ivar lifetime: seconds that the answer may be kept
    """

    addresses: tuple[str, ...]
    lifetime: int


class EntryAddressesSource(ABC):
    """Answers which addresses to use; override :meth:`addresses_for`."""

    @abstractmethod
    def addresses_for(self, caller: str) -> EntryAddresses:
        """Return the entries.

        :param caller: anything that tells callers apart; it spreads them
        """


class FleetEntryAddresses(EntryAddressesSource):
    """The routers that are neither leaving nor suspect.

    If all are, those that are not leaving are given, else all: an address
    that may work is better than none.
    """

    def __init__(
        self, view: FleetView, configuration: ConfigurationInForce
    ) -> None:
        self._view = view
        self._configuration = configuration

    def addresses_for(self, caller: str) -> EntryAddresses:
        """Return the entries in an order that differs between callers."""
        routers = self._view.routers()
        staying = [router for router in routers if not router.leaving]
        healthy = [router for router in staying if not router.suspect]
        chosen = sorted(
            healthy or staying or routers,
            key=lambda router: _rank(caller, router),
        )
        return EntryAddresses(
            tuple(router.callers for router in chosen),
            self._configuration.fleet.entries_lifetime,
        )


def _rank(caller: str, router: RouterNode) -> bytes:
    return blake2b(f'{caller}\n{router.name}'.encode()).digest()
