"""
bergamotshed.forwarding.request_admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request may be forwarded: by its route, its API key, the age
of the configuration and a planned shutdown.
"""

__all__ = ('AdmissionOptions', 'AdmittedRequest', 'RequestAdmission')

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from ..process.shutdown import ShutdownWindow
from ..reasons import Reason, Refusal
from ..routes.current_table import CurrentRoutingTable
from ..routes.types import Organisation, Route
from .types import RoutedRequest

#: Retry-After where another router can take the request: almost at once, as
#: the retry goes to that router.
OTHER_ROUTER_RETRY_AFTER = timedelta(milliseconds=50)
#: Retry-After where no router can take the request: the store has to be
#: reachable again first, which routers notice within this time.
NO_ROUTER_RETRY_AFTER = timedelta(milliseconds=500)
#: Retry-After where a route has no service.
NO_SERVICE_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Limits on the time since the configuration was last confirmed.

    :ivar max_keyed_age: from this age on no request with an API key is
        forwarded
    :ivar max_denial_age: from this age on an unknown route or key is denied
        only after the configuration was confirmed again, as a newer version
        may contain it
    """

    max_keyed_age: timedelta
    max_denial_age: timedelta


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """How an admitted request is to be handled.

    :ivar organisation: owner of the API key; ``None`` where none is needed
    :ivar service: the service that runs it
    :ivar deadline: when the final answer is due, in monotonic seconds
    """

    route: Route
    organisation: Organisation | None
    service: str
    deadline: float

    @property
    def priority(self) -> int:
        """Return the priority; 0 is the most urgent."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority


class RequestAdmission:
    """Admits requests by the current configuration.

    :param options: returns the limits, which a reload may change
    :param confirm: checks the store at once for a newer configuration;
        concurrent calls should share one read
    :param has_ready_peer: returns whether another router accepts requests
    :param random: returns a number from 0 up to, but not including, 1
    """

    def __init__(
        self,
        options: Callable[[], AdmissionOptions],
        routing: CurrentRoutingTable,
        shutdown: ShutdownWindow,
        confirm: Callable[[], Awaitable[bool]],
        has_ready_peer: Callable[[], bool],
        random: Callable[[], float],
    ) -> None:
        self._options = options
        self._routing = routing
        self._shutdown = shutdown
        self._confirm_configuration = confirm
        self._has_ready_peer = has_ready_peer
        self._random = random

    @property
    def configuration_age(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        return self._routing.age

    @property
    def can_admit_keyed(self) -> bool:
        """Return whether the configuration is recent enough for API keys."""
        if self._routing.table is None:
            return False
        return self._routing.age < self._options().max_keyed_age.total_seconds()

    @property
    def _retry_after(self) -> timedelta:
        return (
            OTHER_ROUTER_RETRY_AFTER
            if self._has_ready_peer()
            else NO_ROUTER_RETRY_AFTER
        )

    async def admit_confirmed(
        self, request: RoutedRequest
    ) -> AdmittedRequest | Refusal:
        """Admit or refuse a new request, by a confirmed configuration.

        A route or key that an ageing configuration lacks is looked up again
        after the configuration was confirmed.
        """
        admitted = self.admit(request)
        if isinstance(admitted, Refusal) and self._should_confirm(admitted):
            await self._confirm_configuration()
            return self.admit(request)
        return admitted

    def admit(self, request: RoutedRequest) -> AdmittedRequest | Refusal:
        """Admit or refuse a new request by the configuration as it is."""
        route = self._find_route(request)
        if isinstance(route, Refusal):
            return route
        organisation = self.find_organisation(request, route)
        if isinstance(organisation, Refusal):
            return organisation
        time_allowed = route.timeout
        if request.time_allowed is not None:
            time_allowed = min(time_allowed, request.time_allowed)
        if not self._shutdown.can_accept(time_allowed):
            return Refusal(Reason.STOPPING, self._retry_after)
        deadline = request.arrived_at + time_allowed.total_seconds()
        return AdmittedRequest(
            route,
            organisation,
            self._choose_service(route),
            min(deadline, self._shutdown.finish_by),
        )

    def find_organisation(
        self, request: RoutedRequest, route: Route
    ) -> Organisation | Refusal | None:
        """Return the owner of the API key; ``None`` where no key is needed.

        Must be called again before each attempt, as the key may have been
        revoked since.
        """
        table = self._routing.table
        if table is None or not table.requires_key or route.is_public:
            return None
        organisation = table.organisation(request.api_key or '')
        if organisation is None:
            return self._deny(Reason.UNKNOWN_KEY)
        if self._routing.age >= self._options().max_keyed_age.total_seconds():
            return self._refuse_stale()
        return organisation

    def _find_route(self, request: RoutedRequest) -> Route | Refusal:
        table = self._routing.table
        if table is None:
            return Refusal(Reason.NO_CONFIGURATION, self._retry_after)
        if self._routing.is_outdated:
            return self._refuse_stale()
        route = table.find(request.host, request.path)
        if route is None:
            return self._deny(Reason.UNKNOWN_ROUTE)
        if not route.services:
            return Refusal(
                Reason.NO_ENGINE,
                NO_SERVICE_RETRY_AFTER,
                'the route has no service',
            )
        return route

    def _should_confirm(self, refusal: Refusal) -> bool:
        return (
            refusal.reason is Reason.STALE_CONFIGURATION
            and self._routing.age
            < self._options().max_keyed_age.total_seconds()
        )

    def _deny(self, reason: Reason) -> Refusal:
        if self._routing.age >= self._options().max_denial_age.total_seconds():
            return self._refuse_stale()
        return Refusal(reason)

    def _refuse_stale(self) -> Refusal:
        detail = f'last confirmed {self._routing.age:.2f} s ago'
        if self._routing.is_outdated:
            detail = 'another router has a version that the store lost'
        return Refusal(Reason.STALE_CONFIGURATION, self._retry_after, detail)

    def _choose_service(self, route: Route) -> str:
        total_weight = sum(share.weight for share in route.services)
        point = self._random() * total_weight
        for share in route.services:
            point -= share.weight
            if point < 0:
                return share.service
        return route.services[-1].service
