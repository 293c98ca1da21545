"""
bergamotshed.routing.types
~~~~~~~~~~~~~~~~~~~~~~~~~~

Inputs and results of placement decisions.
"""

__all__ = (
    'LoadGrant',
    'Outcome',
    'Placement',
    'PlacementRequest',
    'Placer',
    'SharedLoads',
    'SharedRates',
    'SharedSlots',
    'Upstream',
    'UpstreamState',
)

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..reasons import Refusal
from ..upstreams.types import Instance


class UpstreamState(Enum):
    """The state of an upstream in this router's view."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as this router sees it.

    :ivar name: the VM's name, unique in the fleet
    :ivar address: ``ip:port``
    :ivar domain: failure domain
    """

    name: str
    service: str
    address: str
    domain: str
    state: UpstreamState = UpstreamState.LIVE


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a request that determine its upstream.

    :ivar request: fleet-wide request id
    :ivar chat: 64-bit hash of organisation and chat id
    :ivar model: ``model``, or ``model@version+adapter`` where given
    :ivar history: tokens of history, which a warm cache saves processing again
    :ivar priority: 0 is the most urgent, 9 the least
    :ivar deadline: time left to the caller's deadline
    :ivar excluded: names of upstreams that already failed this request
    :ivar suspect: the request was in flight at a crash; an upstream runs one
        suspect at a time
    :ivar preferred: upstream named by a placement token, or empty
    :ivar fingerprint: equal for equal requests; 0 if unknown
    :ivar patience: how long it may wait for a slot, where the deadline doesn't
        decide
    :ivar tolerance: rejections in a second that each upstream bears;
        ``None`` for any number
    """

    request: str
    service: str
    organisation: str
    chat: int
    model: str = ''
    history: int = 0
    priority: int = 5
    deadline: timedelta = timedelta(seconds=60)
    excluded: frozenset[str] = frozenset()
    suspect: bool = False
    preferred: str = ''
    fingerprint: int = 0
    patience: timedelta = timedelta(0)
    tolerance: float | None = None


@dataclass(frozen=True, slots=True)
class Placement:
    """A reserved slot on an upstream; it must be released exactly once.

    :ivar grant: number of the reservation at the router that granted it
    :ivar home: name of that router; may be empty for this one
    :ivar first_choice: not displaced by load or failure
    """

    upstream: Upstream
    grant: int
    home: str
    first_choice: bool = True


@dataclass(frozen=True, slots=True)
class LoadGrant:
    """The answer of an upstream's home.

    :ivar number: identifies the grant at the home; 0 if it was denied
    :ivar in_flight: requests on the upstream without this one
    :ivar home: name of the home; may be empty for this router
    """

    number: int
    in_flight: int
    home: str = ''

    @property
    def is_granted(self) -> bool:
        """Return whether the request may be sent."""
        return self.number > 0


class Outcome(Enum):
    """How an attempt ended, as reported to the placer and to health."""

    DONE = 'done'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    CUT = 'cut'


class Placer(ABC):
    """Reserves upstreams for requests; override both methods."""

    @abstractmethod
    async def place(self, request: PlacementRequest) -> Placement | Refusal:
        """Reserve a slot, waiting at most until the deadline."""

    @abstractmethod
    def release(
        self,
        request: PlacementRequest,
        placement: Placement,
        outcome: Outcome,
        cached: int = 0,
    ) -> None:
        """Release the slot.

        :param cached: history tokens that the upstream served from cache
        """


class SharedSlots(ABC):
    """Slots that routers share; override all methods."""

    @abstractmethod
    def is_scarce(self, service: str) -> bool:
        """Return whether slots of a service must be reserved."""

    @abstractmethod
    def record_tolerance(
        self, instance: Instance, tolerance: float | None
    ) -> None:
        """Record how many rejections in a second an upstream bears.

        :param tolerance: ``None`` for any number
        """

    @abstractmethod
    def tolerance_of(self, service: str) -> float | None:
        """Return how many rejections in a second each upstream of a service
        bears; ``None`` for any number.
        """

    @abstractmethod
    async def reserve(
        self, request: PlacementRequest
    ) -> Placement | Refusal | None:
        """Reserve a slot; ``None`` if the home does not answer."""

    @abstractmethod
    def release(self, placement: Placement, outcome: Outcome) -> None:
        """Release a slot."""


class SharedLoads(ABC):
    """The load bound of upstreams, which holds over all routers; override all
    methods.
    """

    @abstractmethod
    async def acquire(
        self, instance: Instance, bound: float, lifetime: timedelta
    ) -> LoadGrant | None:
        """Ask whether an upstream has at most so many requests.

        :param lifetime: time after which the grant ends if it is not released
        :return: ``None`` if this router must decide alone
        """

    @abstractmethod
    def release(self, grant: LoadGrant) -> None:
        """Release a grant."""


class SharedRates(ABC):
    """Limits on the requests a second to upstreams, which hold over all
    routers; override all methods.
    """

    @abstractmethod
    def record_limit(
        self, instance: Instance, rate: float | None, sent_at: float
    ) -> None:
        """Record the limit that an answer names.

        :param rate: requests a second; ``None`` for no limit
        :param sent_at: when its request was sent, in monotonic seconds
        """

    @abstractmethod
    def record_pause(self, instance: Instance, duration: timedelta) -> None:
        """Record for how long an upstream wants nothing from this router."""

    @abstractmethod
    def barred(self, instances: Iterable[Instance]) -> frozenset[str]:
        """Return the names of those to which nothing may be sent now."""

    @abstractmethod
    def time_blocked(self, instance: Instance) -> timedelta:
        """Return how long nothing may be sent to an upstream."""

    @abstractmethod
    async def acquire(self, instance: Instance, max_wait: timedelta) -> bool:
        """Return whether a request may be sent, after waiting for its turn.

        If not, nothing may be sent to the upstream for a while.

        :param max_wait: longest time to wait
        """
