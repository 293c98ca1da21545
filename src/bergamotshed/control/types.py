"""
bergamotshed.control.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

What the request path needs of configuration and claims.
"""

__all__ = ('Claim', 'Claims', 'ConfigurationInForce', 'SettledAnswer')

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..fleet import Fleet
from ..reasons import Refusal


class ConfigurationInForce:
    """The newest accepted configuration; its version never goes back."""

    def __init__(self) -> None:
        self._fleet = Fleet()
        self._version = -1

    @property
    def fleet(self) -> Fleet:
        """Return the configuration."""
        return self._fleet

    @property
    def version(self) -> int:
        """Return the log offset of its record; -1 before there is one."""
        return self._version

    def advance(self, version: int, fleet: Fleet) -> bool:
        """Put a newer configuration in force; older ones are ignored."""
        if version <= self._version:
            return False
        self._version = version
        self._fleet = fleet
        return True


@dataclass(frozen=True, slots=True)
class Claim:
    """The sole right to run a marked request.

    :ivar offset: the winning record's offset in its stream
    """

    organisation: str
    key: str
    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class SettledAnswer:
    """The kept answer of a marked request that ran before."""

    status: int
    body: bytes
    content_type: str = 'application/json'


class Claims(ABC):
    """Gives each idempotency key to at most one run; override all."""

    @abstractmethod
    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        """Win the key, or return the earlier run's answer, or why not.

        ``Refusal(CLAIM_TAKEN)`` means that another run may have happened:
        outcome unknown. Any other refusal means that nothing ran.
        """

    @abstractmethod
    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        """Keep the answer for repeats of the key, as far as possible."""

    @abstractmethod
    async def void(self, claim: Claim) -> None:
        """Give the key back: the request provably did not run."""
