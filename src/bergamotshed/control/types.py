"""
bergamotshed.control.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

Interface of configuration and claims for the request path.
"""

__all__ = ('Claim', 'Claims', 'ConfigurationInForce', 'SettledAnswer')

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..fleet import Fleet
from ..reasons import Refusal


class ConfigurationInForce:
    """The newest accepted configuration; its version never decreases."""

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
        """Put a configuration in force unless it is older.

        :returns: whether it was put in force
        """
        if version <= self._version:
            return False
        self._version = version
        self._fleet = fleet
        return True


@dataclass(frozen=True, slots=True)
class Claim:
    """The exclusive right to run a request with an idempotency key.

    :ivar key: the idempotency key
    :ivar stream: name of the claims stream
    :ivar offset: offset of the winning record in the stream
    """

    organisation: str
    key: str
    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class SettledAnswer:
    """The stored answer of a request that ran before under the same key."""

    status: int
    body: bytes
    content_type: str = 'application/json'


class Claims(ABC):
    """Grants each idempotency key to at most one run; override all."""

    @abstractmethod
    async def claim(
        self, organisation: str, key: str
    ) -> Claim | SettledAnswer | Refusal:
        """Win the key, or return an earlier run's answer or a refusal.

        ``Refusal(CLAIM_TAKEN)`` means that another run may have happened
        and its outcome is unknown. Any other refusal means that nothing ran.
        """

    @abstractmethod
    async def settle(self, claim: Claim, answer: SettledAnswer) -> None:
        """Store the answer for repeats of the key, on a best-effort basis."""

    @abstractmethod
    async def void(self, claim: Claim) -> None:
        """Release the key, as the request certainly did not run."""
