"""
bergamotshed.fleet.check
~~~~~~~~~~~~~~~~~~~~~~~~

Checks the parts of a configuration against each other.
"""

__all__ = ('check_fleet',)

from collections.abc import Iterable

from ..errors import OptionError
from .model import Fleet, Service, ServiceKind


def check_fleet(fleet: Fleet, file: str) -> None:
    """Check that the parts of a configuration are consistent.

    :param file: name of the source in errors
    :raises OptionError: two parts contradict each other; names the first
        contradiction
    """
    _check_unique_names(
        file, 'services', (part.name for part in fleet.services)
    )
    _check_unique_names(
        file, 'organisations', (part.name for part in fleet.organisations)
    )
    for index, service in enumerate(fleet.services):
        _check_service(file, f'services[{index}]', service)
    _check_model_owners(fleet, file)
    _check_organisations(fleet, file)


def _check_unique_names(file: str, section: str, names: Iterable[str]) -> None:
    earlier_names: set[str] = set()
    for index, name in enumerate(names):
        if name in earlier_names:
            raise OptionError(
                file, f'{section}[{index}]', 'name', f'no second {name!r}'
            )
        earlier_names.add(name)


def _check_service(file: str, section: str, service: Service) -> None:
    if service.kind is ServiceKind.PLAIN and service.models:
        raise OptionError(file, section, 'models', 'none for kind plain')
    if service.kind is ServiceKind.ENGINE and not service.models:
        raise OptionError(
            file, section, 'models', 'one model or more for kind engine'
        )
    if service.kind is ServiceKind.ENGINE and service.at_most_once:
        raise OptionError(file, section, 'at_most_once', 'none for kind engine')
    _check_no_duplicates(file, section, 'at_most_once', service.at_most_once)
    versions = [f'{live.name}@{live.version}' for live in service.models]
    _check_no_duplicates(file, section, 'models', versions)
    for index, live in enumerate(service.models):
        _check_no_duplicates(
            file, f'{section}.models[{index}]', 'adapters', live.adapters
        )


def _check_no_duplicates(
    file: str, section: str, key: str, names: Iterable[str]
) -> None:
    earlier_names: set[str] = set()
    for name in names:
        if name in earlier_names:
            raise OptionError(file, section, key, f'{name!r} only once')
        earlier_names.add(name)


def _check_model_owners(fleet: Fleet, file: str) -> None:
    owners: dict[str, str] = {}
    for index, service in enumerate(fleet.services):
        for live in service.models:
            owner = owners.setdefault(live.name, service.name)
            if owner != service.name:
                raise OptionError(
                    file,
                    f'services[{index}]',
                    'models',
                    f'no model of another service; {live.name!r} is live in '
                    f'{owner!r}',
                )


def _check_organisations(fleet: Fleet, file: str) -> None:
    service_names = {service.name for service in fleet.services}
    allowed = ', '.join(sorted(service_names)) or 'no service at all'
    for index, organisation in enumerate(fleet.organisations):
        section = f'organisations[{index}]'
        for name in organisation.services:
            if name not in service_names:
                raise OptionError(
                    file,
                    section,
                    'services',
                    f'names out of {allowed}; got {name!r}',
                )
        _check_no_duplicates(file, section, 'services', organisation.services)
