from datetime import timedelta

import pytest

from bergamotshed.routes.table import RoutingTable
from bergamotshed.routes.types import (
    Organisation,
    Route,
    RoutingData,
    ServiceShare,
)


def route(host: str, prefix: str) -> Route:
    return Route(
        name=f'{host}{prefix}',
        host=host,
        path_prefix=prefix,
        services=(ServiceShare('s'),),
        timeout=timedelta(seconds=1),
        target_latency=timedelta(seconds=1),
    )


TABLE = RoutingTable(
    RoutingData(
        version=3,
        routes=(
            route('a.example', '/x/'),
            route('a.example', '/x/y/'),
            route('B.example', '/'),
            *(route('many.example', f'/r{number}/') for number in range(5000)),
        ),
        keys={'k': Organisation('o')},
    )
)


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('a.example', '/x/1', '/x/'),
        ('a.example', '/x/', '/x/'),
        ('a.example', '/x', None),
        ('a.example', '/x/y/z/w', '/x/y/'),
        ('a.example', '/x/yz/w', '/x/'),
        ('a.example', '/', None),
        ('A.EXAMPLE:8080', '/x/1', '/x/'),
        ('b.example', '/anything', '/'),
        ('c.example', '/x/1', None),
        ('many.example', '/r4999/a', '/r4999/'),
        ('many.example', '/r5000/a', None),
        ('a.example', '', None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(
    host: str, path: str, expected: str | None
) -> None:
    found = TABLE.find(host, path)
    assert (None if found is None else found.path_prefix) == expected


def test_keys_belong_to_organisations() -> None:
    assert TABLE.organisation('k') == Organisation('o')
    assert TABLE.organisation('') is None
