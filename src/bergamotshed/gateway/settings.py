"""
bergamotshed.gateway.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The settings of one gateway, read from an INI file.
"""

__all__ = (
    'AddressSettings',
    'ConfigurationSettings',
    'DirectorySettings',
    'GatewaySettings',
    'NodeSettings',
    'RetrySettings',
    'StoreSettings',
    'load_gateway_settings',
)

from dataclasses import dataclass, field

from ..network_options import Address
from ..options import Flag, Name, Number, option
from ..settings import LimitsSettings, read_settings

MAX_MILLISECONDS = 3_600_000
MAX_SECONDS = 86_400
MAX_RETRIES = 1_000_000

MAX_CALLS_PER_SECOND = 1_000_000

MILLISECONDS = Number(1, MAX_MILLISECONDS)
SECONDS = Number(0.1, MAX_SECONDS)
CALLS_PER_SECOND = Number(1, MAX_CALLS_PER_SECOND)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The identity of this process.

    :ivar grace_s: time from SIGTERM until the process is killed
    :ivar first_start: the whole fleet starts for the first time
    """

    name: str = option(Name())
    domain: str = option(Name())
    region: str = option(Name(), default='local')
    grace_s: float = option(SECONDS, default=8.0)
    first_start: bool = option(Flag(), default=False)


@dataclass(frozen=True, slots=True)
class AddressSettings:
    """The addresses where the process listens, each ``ip:port``.

    :ivar callers: serves the requests that are routed
    :ivar health: reports whether the process accepts requests
    :ivar directory: lists the addresses of the routers for callers
    :ivar peers: serves the other routers
    :ivar operators: serves state, explanations and metrics
    :ivar relay: serves requests of routers that reach no upstream; empty for
        none
    """

    callers: str = option(Address())
    health: str = option(Address())
    directory: str = option(Address())
    peers: str = option(Address())
    operators: str = option(Address())
    relay: str = option(Address(), default='')


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store.

    :ivar reads_per_s: reads that it answers for all routers together
    :ivar writes_per_s: the same for writes
    :ivar configuration_wait_ms: how long a read of the configuration may
        block until a change; the configuration is confirmed this often
    :ivar upstreams_wait_ms: the same for the list of upstreams
    :ivar routers_wait_ms: the same for the list of routers
    """

    address: str = option(Address())
    reads_per_s: float = option(CALLS_PER_SECOND, default=2000)
    writes_per_s: float = option(CALLS_PER_SECOND, default=500)
    configuration_wait_ms: float = option(MILLISECONDS, default=1000)
    upstreams_wait_ms: float = option(MILLISECONDS, default=2500)
    routers_wait_ms: float = option(MILLISECONDS, default=3000)


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How old the configuration may be.

    :ivar revoke_ms: time after the acknowledgement of a version that revokes
        an API key from which on no request with that key may run
    :ivar apply_ms: time until a new version is in force
    :ivar leave_ms: time until a leaving upstream gets no new requests
    """

    revoke_ms: float = option(MILLISECONDS, default=5000)
    apply_ms: float = option(MILLISECONDS, default=2000)
    leave_ms: float = option(MILLISECONDS, default=2000)


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The retry budget of the fleet, for each service.

    :ivar ratio: allowed retries per request
    :ivar slack: retries that are allowed in a window beyond the ratio
    :ivar window_s: length of the window
    """

    ratio: float = option(Number(0, 10), default=0.1)
    slack: float = option(Number(0, MAX_RETRIES), default=10)
    window_s: float = option(SECONDS, default=10)


@dataclass(frozen=True, slots=True)
class DirectorySettings:
    """The list of entry addresses that callers get.

    :ivar lifetime_s: how long callers may keep the list
    :ivar most: most addresses in one answer
    """

    lifetime_s: float = option(SECONDS, default=2)
    most: float = option(Number(1, 1024), default=64)


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The whole file."""

    node: NodeSettings
    addresses: AddressSettings
    store: StoreSettings
    configuration: ConfigurationSettings = field(
        default_factory=ConfigurationSettings
    )
    retries: RetrySettings = field(default_factory=RetrySettings)
    directory: DirectorySettings = field(default_factory=DirectorySettings)
    limits: LimitsSettings = field(default_factory=LimitsSettings)


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings file of a gateway.

    Unknown sections and keys are ignored, as the file may be written for a
    newer version.

    :raises OptionError: the file can't be read, or a section, key or value
        in it is invalid
    """
    return read_settings(path, GatewaySettings, strict=False)
