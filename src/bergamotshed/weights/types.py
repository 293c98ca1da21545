"""
bergamotshed.weights.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

Interface of the platform's rate-limited weight store.
"""

__all__ = (
    'WeightStore',
    'WeightStoreBusy',
    'WeightStoreError',
    'WeightStoreUnavailable',
    'WeightsRequest',
)

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from ..errors import BergamotshedError


class WeightStoreError(BergamotshedError):
    """Base of the errors of calls to the weight store."""


class WeightStoreBusy(WeightStoreError):
    """The rate limit of the store is reached.

    :param retry_after: the delay that the store asks for
    """

    def __init__(self, retry_after: timedelta) -> None:
        super().__init__(f'the weight store is busy; retry after {retry_after}')
        self.retry_after = retry_after


class WeightStoreUnavailable(WeightStoreError):
    """The store refused or did not answer; the request may be retried."""


@dataclass(frozen=True, slots=True)
class WeightsRequest:
    """The model version that an engine is to fetch.

    :ivar engine: name of the engine's VM
    """

    model: str
    version: str
    engine: str


class WeightStore(ABC):
    """A client of the weight store; override the method."""

    @abstractmethod
    async def fetch(self, request: WeightsRequest) -> str:
        """Return the ticket with which the engine fetches.

        :raises WeightStoreBusy: the rate limit is reached
        :raises WeightStoreUnavailable: the store refused or can't be reached
        """
