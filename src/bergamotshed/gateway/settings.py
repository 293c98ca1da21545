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
from ..options import Name, Number, option
from ..settings import read_settings

MAX_MILLISECONDS = 3_600_000
MAX_SECONDS = 86_400
MAX_RETRIES = 1_000_000

MILLISECONDS = Number(1, MAX_MILLISECONDS)
SECONDS = Number(0.1, MAX_SECONDS)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Who this process is.

    :ivar grace_s: time from SIGTERM until the process is killed
    """

    name: str = option(Name())
    domain: str = option(Name())
    region: str = option(Name(), default='local')
    grace_s: float = option(SECONDS, default=8.0)


@dataclass(frozen=True, slots=True)
class AddressSettings:
    """Where the process listens, each ``ip:port``.

    :ivar callers: routed requests
    :ivar health: whether the process takes requests
    :ivar directory: which routers callers may use
    :ivar peers: other routers
    :ivar operators: state, explanations and metrics
    """

    callers: str = option(Address())
    health: str = option(Address())
    directory: str = option(Address())
    peers: str = option(Address())
    operators: str = option(Address())


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store.

    :ivar configuration_wait_ms: how long a read of the configuration is
        held back without a change, at most; the configuration is confirmed
        this often
    :ivar upstreams_wait_ms: the same for the upstreams
    :ivar routers_wait_ms: the same for the routers
    """

    address: str = option(Address())
    configuration_wait_ms: float = option(MILLISECONDS, default=1000)
    upstreams_wait_ms: float = option(MILLISECONDS, default=2500)
    routers_wait_ms: float = option(MILLISECONDS, default=10_000)


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """How old the configuration may be.

    :ivar revoke_ms: time from the acknowledgement of a version that takes
        an API key away until no request with that key may run
    :ivar apply_ms: time until a version is in force
    :ivar leave_ms: time until an upstream that leaves gets nothing new
    """

    revoke_ms: float = option(MILLISECONDS, default=5000)
    apply_ms: float = option(MILLISECONDS, default=2000)
    leave_ms: float = option(MILLISECONDS, default=2000)


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The retry budget of the fleet, for each service.

    :ivar ratio: retries for each request
    :ivar slack: retries in a window beyond that
    :ivar window_s: length of the window
    """

    ratio: float = option(Number(0, 10), default=0.1)
    slack: float = option(Number(0, MAX_RETRIES), default=10)
    window_s: float = option(SECONDS, default=10)


@dataclass(frozen=True, slots=True)
class DirectorySettings:
    """What callers are told.

    :ivar lifetime_s: how long they may keep the list of routers
    :ivar most: routers in one answer
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


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read and check the settings file of a gateway.

    Sections and keys that are not known are ignored: the file may be made
    for a newer version.

    :raises OptionError: the file can't be read, or a section, key or value
        in it is not allowed
    """
    return read_settings(path, GatewaySettings, strict=False)
