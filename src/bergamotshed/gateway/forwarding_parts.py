"""
bergamotshed.gateway.forwarding_parts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds what every forwarded request uses; part of the composition root.
"""

__all__ = ('admission_options', 'build_forwarding')

import math
import random
from datetime import timedelta

from aiohttp import ClientSession

from ..clock import Clock
from ..forwarding.crash_detector import CrashDetector
from ..forwarding.dependencies import ForwardingDependencies
from ..forwarding.request_admission import AdmissionOptions, RequestAdmission
from ..forwarding.request_timeouts import RequestTimeouts
from ..platform.headers import PlatformDialect
from ..process.shutdown import ShutdownWindow
from ..roster.types import RosterEntry
from ..routers.gatewayheartbeats import GatewayHeartbeats
from ..routers.requestrelay import RequestRelay
from ..routing.affinity import AffinityPlacer
from ..routing.cache_source import CacheSources
from ..routing.fleet_retry_budget import (
    FleetRetryBudget,
    FleetRetryBudgetOptions,
)
from ..store.confirmation import SharedConfirmation
from ..store.types import Topic
from ..upstreams.pool import PoolOptions
from .live_settings import LiveSettings
from .parts import FleetParts
from .settings import GatewaySettings

#: Part of the time after which a revoked key must not run that is reserved
#: for sending the request to the upstream.
REVOKE_MARGIN = timedelta(milliseconds=250)
#: Age of the configuration, as a share of the time to apply a version, from
#: which on an unknown route or key is not denied, as a newer version may
#: contain it.
DENIAL_SHARE = 0.95
#: Share of an upstream's connection limit that the routers use for requests;
#: the rest is for idle connections and for routers that are not counted yet.
CONNECTIONS_SHARE = 0.7
MILLISECOND = timedelta(milliseconds=1)


def build_forwarding(
    live: LiveSettings,
    clock: Clock,
    fleet: FleetParts,
    shutdown: ShutdownWindow,
    session: ClientSession,
) -> ForwardingDependencies:
    """Build and connect the parts.

    :param session: HTTP client session for the peers
    """
    rng = random.Random()
    loads = fleet.heartbeats.loads
    timeouts = RequestTimeouts()
    return ForwardingDependencies(
        admission=RequestAdmission(
            lambda: admission_options(live.current),
            fleet.routing,
            shutdown,
            SharedConfirmation(fleet.followers[Topic.CONFIGURATION].confirm),
            fleet.heartbeats.has_ready_peer,
            rng.random,
        ),
        crashes=CrashDetector(
            fleet.crashes.quarantine, fleet.registry, fleet.prober.pool, clock
        ),
        registry=fleet.registry,
        placer=AffinityPlacer(
            fleet.registry,
            loads,
            CacheSources(fleet.registry, loads, fleet.shared.prompts.memory),
            lambda service: _max_in_flight(fleet, service),
            lambda: len(fleet.heartbeats.live_routers()),
            live.current.node.domain,
            rng.random,
        ),
        loads=loads,
        prompts=fleet.shared.prompts,
        origins=fleet.shared.origins,
        confirm_upstreams=SharedConfirmation(
            fleet.followers[Topic.UPSTREAMS].confirm
        ),
        slots=fleet.shared.slots,
        rates=fleet.shared.rates,
        load_bounds=fleet.shared.loads,
        retries=FleetRetryBudget(
            lambda: _retry_options(live.current),
            fleet.roster.count,
            clock,
        ),
        pool=fleet.prober.pool,
        peers=RequestRelay(
            session,
            lambda service: _reaching_peers(fleet, service),
            timeouts,
            clock,
        ),
        timeouts=timeouts,
        dialect=PlatformDialect(),
        clock=clock,
    )


def _reaching_peers(fleet: FleetParts, service: str) -> list[RosterEntry]:
    """Return the routers that can forward requests for this one."""
    return [
        entry
        for entry in fleet.roster.others
        if not entry.leaving and _reaches(fleet.heartbeats, entry.name, service)
    ]


def _reaches(heartbeats: GatewayHeartbeats, name: str, service: str) -> bool:
    """Return whether a peer takes requests and reaches a service, by its
    latest heartbeat.
    """
    heartbeat = heartbeats.latest_heartbeats.get(name)
    return (
        heartbeat is not None
        and heartbeat.ready
        and name not in heartbeats.silent_routers
        and service not in heartbeat.lost_services
    )


def _max_in_flight(fleet: FleetParts, service: str) -> float:
    """Return this router's share of the connections to one upstream."""
    table = fleet.routing.table
    routed = None if table is None else table.services.get(service)
    if routed is None or not routed.max_connections:
        return math.inf
    usable = routed.max_connections * CONNECTIONS_SHARE
    return max(1, usable / fleet.roster.count())


def _retry_options(settings: GatewaySettings) -> FleetRetryBudgetOptions:
    return FleetRetryBudgetOptions(
        settings.retries.ratio,
        settings.retries.slack,
        timedelta(seconds=settings.retries.window_s),
    )


def admission_options(settings: GatewaySettings) -> AdmissionOptions:
    """Return the limits on the age of the configuration."""
    limits = settings.configuration
    connect_timeout = PoolOptions().connect_timeout
    return AdmissionOptions(
        max_keyed_age=limits.revoke_ms * MILLISECOND
        - connect_timeout
        - REVOKE_MARGIN,
        max_denial_age=limits.apply_ms * MILLISECOND * DENIAL_SHARE,
    )
