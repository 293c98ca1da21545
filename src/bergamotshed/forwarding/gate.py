"""
bergamotshed.forwarding.gate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request may be forwarded at all: its route, its API key,
the age of the configuration that says so, and a planned stop.
"""

__all__ = ('AdmittedRequest', 'EntryGate', 'GateOptions')

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from ..process.stopping import ShutdownWindow
from ..reasons import Reason, Refusal
from ..routes.current_table import CurrentRoutingTable
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
class GateOptions:
    """Limits of the configuration's age.

    :ivar keyed_age: age from which no request with a key is handed over
    :ivar denial_age: age from which an unknown route or key is not denied
        before the configuration is confirmed again, as a newer one may know
        it
    """

    keyed_age: timedelta
    denial_age: timedelta


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


class EntryGate:
    """Admits requests by the configuration in force.

    :param options: gives the limits, which a reload may change
    :param confirm: asks the store at once for a newer configuration
    :param has_ready_peer: tells whether another router takes requests
    """

    def __init__(
        self,
        options: Callable[[], GateOptions],
        routing: CurrentRoutingTable,
        stop: ShutdownWindow,
        confirm: Callable[[], Awaitable[bool]],
        has_ready_peer: Callable[[], bool],
        random: Callable[[], float],
    ) -> None:
        self._options = options
        self._routing = routing
        self._stop = stop
        self._confirm_now = confirm
        self._has_ready_peer = has_ready_peer
        self._confirming: asyncio.Future[bool] | None = None
        self._random = random

    @property
    def configuration_age(self) -> float:
        """Return the seconds since the configuration was confirmed."""
        return self._routing.age

    @property
    def is_open(self) -> bool:
        """Return whether requests with a key are taken."""
        if self._routing.table is None:
            return False
        return self._routing.age < self._options().keyed_age.total_seconds()

    @property
    def _return_time(self) -> timedelta:
        return OTHER_ROUTER_RETRY if self._has_ready_peer() else NO_ROUTER_RETRY

    async def admit_confirmed(
        self, request: RoutedRequest
    ) -> AdmittedRequest | Refusal:
        """Find the route and the organisation of a new request.

        What an ageing configuration does not know is looked up again once
        the configuration is confirmed.
        """
        admitted = self.admit(request)
        if isinstance(admitted, Refusal) and self._is_doubtful(admitted):
            await self._confirm()
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
        allowed = route.timeout
        if request.time_allowed is not None:
            allowed = min(allowed, request.time_allowed)
        if not self._stop.can_accept(allowed):
            return Refusal(Reason.STOPPING, self._return_time)
        return AdmittedRequest(
            route,
            organisation,
            self._choose_service(route),
            request.arrived_at + allowed.total_seconds(),
        )

    def find_organisation(
        self, request: RoutedRequest, route: Route
    ) -> Organisation | Refusal | None:
        """Return who may send the request now.

        To be asked again before each hand-over: the key may be gone since.
        """
        table = self._routing.table
        if table is None or not table.requires_key or route.is_public:
            return None
        organisation = table.organisation(request.key or '')
        if organisation is None:
            return self._deny(Reason.UNKNOWN_KEY)
        if self._routing.age >= self._options().keyed_age.total_seconds():
            return self._too_old()
        return organisation

    def _find_route(self, request: RoutedRequest) -> Route | Refusal:
        table = self._routing.table
        if table is None:
            return Refusal(Reason.NO_CONFIGURATION, self._return_time)
        route = table.find(request.host, request.path)
        if route is None:
            return self._deny(Reason.UNKNOWN_ROUTE)
        if not route.services:
            return Refusal(
                Reason.NO_ENGINE, NO_SERVICE_RETRY, 'a route to no service'
            )
        return route

    def _is_doubtful(self, refused: Refusal) -> bool:
        return (
            refused.reason is Reason.STALE_CONFIGURATION
            and self._routing.age < self._options().keyed_age.total_seconds()
        )

    async def _confirm(self) -> None:
        """Confirm the configuration, once for all that wait for it."""
        if self._confirming is None:
            self._confirming = asyncio.ensure_future(self._confirm_now())
            self._confirming.add_done_callback(self._end_confirming)
        await asyncio.shield(self._confirming)

    def _end_confirming(self, _done: 'asyncio.Future[bool]') -> None:
        self._confirming = None

    def _deny(self, reason: Reason) -> Refusal:
        if self._routing.age >= self._options().denial_age.total_seconds():
            return self._too_old()
        return Refusal(reason)

    def _too_old(self) -> Refusal:
        return Refusal(
            Reason.STALE_CONFIGURATION,
            self._return_time,
            f'last confirmed {self._routing.age:.2f} s ago',
        )

    def _choose_service(self, route: Route) -> str:
        total = sum(share.weight for share in route.services)
        chosen = self._random() * total
        for share in route.services:
            chosen -= share.weight
            if chosen < 0:
                return share.service
        return route.services[-1].service
