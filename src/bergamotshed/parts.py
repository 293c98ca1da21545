"""
bergamotshed.parts
~~~~~~~~~~~~~~~~~~

The parts of one router, grouped in the order in which they are built.
"""

__all__ = (
    'ControlParts',
    'CoreParts',
    'FleetParts',
    'RequestParts',
    'Router',
    'TaskFunction',
)

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import ClientSession

from .callers.server import CallersServer
from .clock import Clock
from .control.claims import LogClaims
from .control.configuration import ConfigurationFollower
from .control.leases import LeaseKeeper
from .control.reconcile import Reconciler
from .control.refresh import ConfigurationRefresher
from .control.types import ConfigurationInForce
from .dispatch.chat import ChatDispatcher
from .dispatch.plain import PlainDispatcher
from .engines.types import EngineClient
from .engines.watch import EngineReports
from .intake.intake import Intake
from .log.types import Log
from .operators.server import OperatorsServer
from .process.drain import Drain
from .process.traffic import Traffic
from .routers.configuration import ConfigurationExchange
from .routers.crashparts import CrashParts
from .routers.heartbeats import Heartbeats
from .routers.mesh import PeerMesh
from .routers.placer import HomePlacer
from .routing.boots import BootRegistry
from .routing.membership import Membership
from .settings import Settings
from .upstreams.pool import ConnectionPool

#: Coroutine function of a background task that runs until cancelled.
TaskFunction = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CoreParts:
    """The parts that all others depend on.

    :ivar intake: the account of what clients cost
    :ivar session: HTTP client for the platform and engines
    :ivar service_connections: connections to plain services
    :ivar configuration: the configuration in force
    :ivar boots: the current engine run of each engine
    :ivar reports: the latest load report of each engine
    """

    settings: Settings
    clock: Clock
    rng: random.Random
    traffic: Traffic
    intake: Intake
    session: ClientSession
    configuration: ConfigurationInForce
    log: Log
    engines: EngineClient
    service_connections: ConnectionPool
    boots: BootRegistry
    reports: EngineReports


@dataclass(frozen=True, slots=True)
class FleetParts:
    """The parts by which a router takes part in the fleet."""

    membership: Membership
    mesh: PeerMesh
    placer: HomePlacer
    heartbeats: Heartbeats
    configurations: ConfigurationExchange
    crashes: CrashParts


@dataclass(frozen=True, slots=True)
class RequestParts:
    """The parts that handle callers' requests."""

    chat: ChatDispatcher
    plain: PlainDispatcher
    claims: LogClaims
    server: CallersServer


@dataclass(frozen=True, slots=True)
class ControlParts:
    """The parts that maintain the state in the platform's log.

    They follow and refresh the configuration, hold the control lease and
    reconcile the engines with the configuration.
    """

    follower: ConfigurationFollower
    lease: LeaseKeeper
    refresher: ConfigurationRefresher
    reconciler: Reconciler


@dataclass(frozen=True, slots=True)
class Router:
    """A router: all its parts, connected.

    :ivar tasks: coroutine functions that run until they are cancelled
    """

    clock: Clock
    fleet_parts: FleetParts
    request_parts: RequestParts
    control_parts: ControlParts
    operators: OperatorsServer
    drain: Drain
    tasks: list[TaskFunction]
