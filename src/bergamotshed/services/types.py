"""
bergamotshed.services.types
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls to plain services, their answers and errors.
"""

__all__ = (
    'ServiceAnswer',
    'ServiceClient',
    'ServiceCut',
    'ServiceError',
    'ServiceOverloaded',
    'ServiceRequest',
    'ServiceUnreachable',
)

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from ..errors import BergamotshedError


class ServiceError(BergamotshedError):
    """Base of the errors of calls to a plain service."""


class ServiceUnreachable(ServiceError):
    """No connection was established, so the call did not run."""


class ServiceOverloaded(ServiceError):
    """The service refused the call without running it.

    :param retry_after: the delay that it asks for, if any
    """

    def __init__(self, retry_after: timedelta | None = None) -> None:
        super().__init__('the service refused the call')
        self.retry_after = retry_after


class ServiceCut(ServiceError):
    """The exchange broke off after sending: the call may have run."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One attempt at a plain call.

    :ivar request_id: unique in the fleet
    :ivar call: name of the call
    :ivar idempotency_key: empty if the caller sent none
    """

    request_id: str
    organisation: str
    call: str
    idempotency_key: str
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A complete answer of any status."""

    status: int
    body: bytes
    content_type: str


class ServiceClient(ABC):
    """Calls plain services at an address ``ip:port``."""

    @abstractmethod
    async def call(
        self, address: str, request: ServiceRequest, timeout: timedelta
    ) -> ServiceAnswer:
        """Make one attempt.

        :param timeout: longest time for the whole attempt
        :raises ServiceUnreachable: the call was not sent
        :raises ServiceOverloaded: the call did not run
        :raises ServiceCut: the call may have run
        """
