"""
bergamotshed.settings
~~~~~~~~~~~~~~~~~~~~~

The settings of a router process, read from an INI file.
"""

__all__ = (
    'CallersSettings',
    'ControlSettings',
    'EnginesSettings',
    'LimitsSettings',
    'OperatorsSettings',
    'PeersSettings',
    'PlatformSettings',
    'RouterSettings',
    'SecuritySettings',
    'Settings',
    'load_settings',
    'read_settings',
)

from configparser import ConfigParser, Error, SectionProxy
from dataclasses import MISSING, Field, dataclass, field, fields
from datetime import timedelta
from typing import Any, TypeVar, cast

from .errors import OptionError
from .network_options import AddressList, IpAddress, Port, Url
from .options import (
    Duration,
    Hex,
    Integer,
    Name,
    Option,
    option,
)

T = TypeVar('T')

MAX_BODY_BYTES = 1 << 26
MAX_WEIGHTS_RATE_PER_S = 1000
MIN_MEMORY_MB = 64
MAX_MEMORY_MB = 1 << 20
#: The memory of the smallest VM.
DEFAULT_MEMORY_MB = 430
MIN_TOKEN_KEY_BYTES = 16
LOOPBACK = '127.0.0.1'
PORT = Port()


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Identity of this process and its shutdown.

    :ivar domain: failure domain of its VM
    :ivar stop_timeout: how long a shutdown waits for requests in flight
    """

    name: str = option(Name())
    domain: str = option(Name())
    region: str = option(Name(), default='local')
    stop_timeout: timedelta = option(Duration(), default=timedelta(minutes=10))


@dataclass(frozen=True, slots=True)
class CallersSettings:
    """The address for callers, and limits on their requests.

    :ivar max_body: maximum size of a request body, in bytes
    :ivar read_timeout: time limit for receiving a request
    """

    host: str = option(IpAddress())
    port: int = option(PORT, default=8080)
    max_body: int = option(Integer(1, MAX_BODY_BYTES), default=1 << 21)
    read_timeout: timedelta = option(Duration(), default=timedelta(seconds=10))


@dataclass(frozen=True, slots=True)
class PeersSettings:
    """The address for other routers.

    :ivar seeds: peers to contact before the list of VMs is read; validated
        but not used yet: a router learns its peers only from the list
    """

    host: str = option(IpAddress())
    port: int = option(PORT, default=7400)
    seeds: tuple[str, ...] = option(AddressList(), default=())


@dataclass(frozen=True, slots=True)
class OperatorsSettings:
    """The address that serves health, state dump, explanations and metrics."""

    host: str = option(IpAddress(), default=LOOPBACK)
    port: int = option(PORT, default=9090)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The services of the platform.

    :ivar log: base URL of the log
    :ivar vms: URL of the list of VMs
    :ivar weights: base URL of the weight store; empty for none
    :ivar weights_rate: maximum number of fetches requested per second
    """

    log: str = option(Url())
    vms: str = option(Url())
    weights: str = option(Url(), default='')
    weights_rate: int = option(Integer(1, MAX_WEIGHTS_RATE_PER_S), default=10)


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Control lease, reconciliation, configuration and claims.

    :ivar lease_ttl: how long the control lease lasts without renewal
    :ivar lease_margin: how long a contender waits after the lease expires
    :ivar unfenced_wait: how long a new holder waits before it sends orders
        to engines that ignore fencing tokens
    :ivar reconcile_every: pause between two rounds of engine checks
    :ivar refresh_every: age at which the configuration is appended to the log
        again; must be well below the log's retention
    :ivar claims_window: how long an idempotency key is remembered; must be
        below the log's retention
    """

    lease_ttl: timedelta = option(
        Duration(low=timedelta(seconds=2)), default=timedelta(seconds=10)
    )
    lease_margin: timedelta = option(Duration(), default=timedelta(seconds=2))
    unfenced_wait: timedelta = option(Duration(), default=timedelta(seconds=5))
    reconcile_every: timedelta = option(
        Duration(), default=timedelta(seconds=2)
    )
    refresh_every: timedelta = option(Duration(), default=timedelta(hours=1))
    claims_window: timedelta = option(Duration(), default=timedelta(hours=1))


@dataclass(frozen=True, slots=True)
class EnginesSettings:
    """Limits of calls to upstreams.

    :ivar connect_timeout: time limit for opening a connection
    :ivar idle_timeout: longest time without data on a stream
    """

    connect_timeout: timedelta = option(
        Duration(), default=timedelta(seconds=1)
    )
    idle_timeout: timedelta = option(Duration(), default=timedelta(seconds=15))


@dataclass(frozen=True, slots=True)
class LimitsSettings:
    """What the process may use.

    :ivar memory_mb: memory in megabytes; the VM's own if that is less. What
        clients send is refused before it exceeds their part of it.
    """

    memory_mb: int = option(
        Integer(MIN_MEMORY_MB, MAX_MEMORY_MB), default=DEFAULT_MEMORY_MB
    )


@dataclass(frozen=True, slots=True)
class SecuritySettings:
    """Secrets that all routers share.

    :ivar token_key: key that signs placement tokens; if empty, the process
        generates one that the other routers don't share
    """

    token_key: bytes = option(Hex(MIN_TOKEN_KEY_BYTES), default=b'')


@dataclass(frozen=True, slots=True)
class Settings:
    """All sections of the settings file of a router."""

    router: RouterSettings
    callers: CallersSettings
    peers: PeersSettings
    platform: PlatformSettings
    operators: OperatorsSettings = field(default_factory=OperatorsSettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    engines: EnginesSettings = field(default_factory=EnginesSettings)
    limits: LimitsSettings = field(default_factory=LimitsSettings)
    security: SecuritySettings = field(default_factory=SecuritySettings)


def load_settings(path: str) -> Settings:
    """Read and check the settings file of a router.

    :raises OptionError: the file can't be read, or a section, key or value
        in it is not allowed
    """
    return read_settings(path, Settings)


def read_settings(path: str, kind: type[T], *, strict: bool = True) -> T:
    """Read and check a settings file.

    :param kind: data class with one field for each section
    :param strict: reject unknown sections and keys instead of ignoring them
    :raises OptionError: the file can't be read, or a section, key or value
        in it is not allowed
    """
    parser = _parse_file(path)
    sections = {
        section_field.name: section_field.type
        for section_field in fields(cast(Any, kind))
    }
    for section in parser.sections():
        if strict and section not in sections:
            raise OptionError(
                path, section, '*', _describe_choices(sections, 'section')
            )
    return kind(
        **{
            name: _load_section(path, parser, name, section_kind, strict=strict)
            for name, section_kind in sections.items()
        }
    )


def _parse_file(path: str) -> ConfigParser:
    parser = ConfigParser(
        interpolation=None, default_section='', inline_comment_prefixes=('#',)
    )
    try:
        with open(path, encoding='utf-8') as source:
            parser.read_file(source)
    except (OSError, UnicodeDecodeError) as error:
        raise OptionError(
            path, '*', '*', f'a readable text file ({error})'
        ) from error
    except Error as error:
        message = ' '.join(str(error).split())
        raise OptionError(path, '*', '*', f'an INI file ({message})') from error
    return parser


def _load_section(
    path: str, parser: ConfigParser, name: str, kind: Any, *, strict: bool
) -> Any:
    texts: SectionProxy | dict[str, str] = (
        parser[name] if parser.has_section(name) else {}
    )
    options = {option_field.name: option_field for option_field in fields(kind)}
    for key in texts:
        if strict and key not in options:
            raise OptionError(
                path, name, key, _describe_choices(options, 'key')
            )
    return kind(
        **{
            option_field.name: _load_option(
                path, name, option_field, texts.get(option_field.name)
            )
            for option_field in options.values()
        }
    )


def _load_option(
    path: str, section: str, option_field: 'Field[Any]', text: str | None
) -> Any:
    kind: Option[Any] = option_field.metadata['option']
    if not text:
        if option_field.default is MISSING:
            raise OptionError(path, section, option_field.name, kind.expected)
        return option_field.default
    try:
        return kind.parse(text)
    except ValueError as error:
        expected = f'{kind.expected}, got {text!r}'
        raise OptionError(path, section, option_field.name, expected) from error


def _describe_choices(names: dict[str, Any], noun: str) -> str:
    return f'one {noun} of {", ".join(sorted(names))}'
