"""
bergamotshed.forwarding.request_admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request may be forwarded at all: its route, its API key,
the age of the configuration that says so, and a planned stop.
"""

__all__ = ('AdmissionOptions', 'AdmittedRequest', 'RequestAdmission')

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from ..process.stopping import ShutdownWindow
from ..reasons import Reason, Refusal
from ..routes.holder import CurrentRoutingTable
from ..routes.types import Organisation, Route
from .types import RoutedRequest

#: When to come back to a fleet of which one router can't take the request:
#: at once, as the next try goes to another router.
OTHER_ROUTER_RETRY = timedelta(milliseconds=50)
#: When to come back to a fleet of which no router can take it: the store has
#: to return first, which routers notice within as much.
NO_ROUTER_RETRY = timedelta(milliseconds=500)
#: When to come back where no service is behind a route.
NO_SERVICE_RETRY = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Limits of the configuration's age.

    :ivar max_keyed_age: age from which no request with a key is handed over
    :ivar max_denial_age: age from which an unknown route or key is not denied
        before the configuration is confirmed again, as a newer one may know
        it
    """

    max_keyed_age: timedelta
    max_denial_age: timedelta


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """What the configuration says of a request.

    :ivar organisation: who holds its key; ``None`` on a public route
    :ivar service: the service that takes it
    :ivar deadline: when it must have its final answer, in monotonic seconds
    """

    route: Route
    organisation: Organisation | None
    service: str
    deadline: float

    @property
    def priority(self) -> int:
        """Return the urgency, 0 first."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority


class RequestAdmission:
    """Admits requests by the configuration in force.

    :param options: gives the limits, which a reload may change
    :param confirm: asks the store at once for a newer configuration
    :param has_ready_peer: tells whether another router takes requests
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
        self._pending_confirmation: asyncio.Future[bool] | None = None
        self._random = random

    @property
    def configuration_age(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        return self._routing.age

    @property
    def can_admit_keyed(self) -> bool:
        """Return whether requests with a key are taken."""
        if self._routing.table is None:
            return False
        return self._routing.age < self._options().max_keyed_age.total_seconds()

    @property
    def _retry_after(self) -> timedelta:
        return OTHER_ROUTER_RETRY if self._has_ready_peer() else NO_ROUTER_RETRY

    async def admit_confirmed(
        self, request: RoutedRequest
    ) -> AdmittedRequest | Refusal:
        """Find the route and the organisation of a new request.

        What an ageing configuration does not know is looked up again once
        the configuration is confirmed.
        """
        admitted = self.admit(request)
        if isinstance(admitted, Refusal) and self._should_confirm(admitted):
            await self._await_confirmation()
            return self.admit(request)
        return admitted

    def admit(self, request: RoutedRequest) -> AdmittedRequest | Refusal:
        """Find the route and the organisation of a new request."""
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
        return AdmittedRequest(
            route,
            organisation,
            self._choose_service(route),
            request.arrived_at + time_allowed.total_seconds(),
        )

    def find_organisation(
        self, request: RoutedRequest, route: Route
    ) -> Organisation | Refusal | None:
        """Return who may send the request now.

        To be asked again before each hand-over: the key may be gone since.
        """
        table = self._routing.table
        if table is None or not table.keyed or route.public:
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
        route = table.find(request.host, request.path)
        if route is None:
            return self._deny(Reason.UNKNOWN_ROUTE)
        if not route.services:
            return Refusal(
                Reason.NO_ENGINE, NO_SERVICE_RETRY, 'a route to no service'
            )
        return route

    def _should_confirm(self, refusal: Refusal) -> bool:
        return (
            refusal.reason is Reason.STALE_CONFIGURATION
            and self._routing.age
            < self._options().max_keyed_age.total_seconds()
        )

    async def _await_confirmation(self) -> None:
        """Confirm the configuration, once for all that wait for it."""
        if self._pending_confirmation is None:
            self._pending_confirmation = asyncio.ensure_future(
                self._confirm_configuration()
            )
            self._pending_confirmation.add_done_callback(
                self._clear_confirmation
            )
        await asyncio.shield(self._pending_confirmation)

    def _clear_confirmation(self, _done: 'asyncio.Future[bool]') -> None:
        self._pending_confirmation = None

    def _deny(self, reason: Reason) -> Refusal:
        if self._routing.age >= self._options().max_denial_age.total_seconds():
            return self._refuse_stale()
        return Refusal(reason)

    def _refuse_stale(self) -> Refusal:
        return Refusal(
            Reason.STALE_CONFIGURATION,
            self._retry_after,
            f'last confirmed {self._routing.age:.2f} s ago',
        )

    def _choose_service(self, route: Route) -> str:
        total_weight = sum(share.weight for share in route.services)
        point = self._random() * total_weight
        for share in route.services:
            point -= share.weight
            if point < 0:
                return share.service
        return route.services[-1].service
