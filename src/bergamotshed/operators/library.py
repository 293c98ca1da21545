"""
bergamotshed.operators.library
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The library that operators describe a fleet with. A description is a Python
file that ends with ``fleet.print()``; what it prints is published.
"""

__all__ = ('FleetBuilder', 'describe', 'model')

import sys
from collections.abc import Iterable
from typing import Any, TextIO

import msgspec

from ..fleet import Fleet, LiveModel, Organisation, Service
from ..fleet.check import check_fleet
from ..fleet.codec import format_fleet
from ..fleet.option_errors import option_error

SOURCE = 'description'


class FleetBuilder:
    """Gathers services and organisations into one configuration.

    :param entries_lifetime: seconds that callers keep an entries answer
    """

    def __init__(self, entries_lifetime: int = 30) -> None:
        self._lifetime = entries_lifetime
        self._services: list[Service] = []
        self._organisations: list[Organisation] = []

    def service(
        self,
        name: str,
        *,
        models: Iterable[LiveModel] = (),
        kind: str = 'engine',
        at_most_once: Iterable[str] = (),
        **options: Any,
    ) -> None:
        """Add a service of engines or, with ``kind='plain'``, of others.

        :param models: what its engines should have loaded
        :param at_most_once: plain calls that never run twice
        :param options: further fields of
            :class:`~bergamotshed.fleet.Service`
        """
        self._services.append(
            _convert(
                f'services[{len(self._services)}]',
                Service,
                name=name,
                kind=kind,
                models=[msgspec.to_builtins(live) for live in models],
                at_most_once=list(at_most_once),
                **options,
            )
        )

    def organisation(
        self, name: str, *, services: Iterable[str], share: float = 1
    ) -> None:
        """Add an organisation.

        :param services: names of the services that it may call
        :param share: its weight when upstreams are short
        """
        self._organisations.append(
            _convert(
                f'organisations[{len(self._organisations)}]',
                Organisation,
                name=name,
                services=list(services),
                share=share,
            )
        )

    def build(self) -> Fleet:
        """Return the checked configuration.

        :raises OptionError: its parts disagree
        """
        whole: Fleet = _convert(
            '',
            Fleet,
            services=[msgspec.to_builtins(part) for part in self._services],
            organisations=[
                msgspec.to_builtins(part) for part in self._organisations
            ],
            entries_lifetime=self._lifetime,
        )
        check_fleet(whole, SOURCE)
        return whole

    def print(self, out: TextIO | None = None) -> None:
        """Print the configuration as JSON.

        :param out: standard output unless given
        :raises OptionError: its parts disagree
        """
        print(format_fleet(self.build()), file=out or sys.stdout)


def describe(entries_lifetime: int = 30) -> FleetBuilder:
    """Begin a description.

    :param entries_lifetime: seconds that callers keep an entries answer
    """
    return FleetBuilder(entries_lifetime)


def model(
    name: str,
    version: str,
    *,
    adapters: Iterable[str] = (),
    engines: int = 0,
) -> LiveModel:
    """Describe a model version that engines should have loaded.

    :param engines: how many engines should hold it; 0 means all
    """
    live: LiveModel = _convert(
        'services[...].models[...]',
        LiveModel,
        name=name,
        version=version,
        adapters=list(adapters),
        engines=engines,
    )
    return live


def _convert(section: str, shape: Any, **options: Any) -> Any:
    try:
        return msgspec.convert(options, shape)
    except msgspec.ValidationError as error:
        raise option_error(SOURCE, str(error), section) from error
