from datetime import timedelta
from typing import Any

import msgspec
import pytest

from bergamotshed.platform.configuration import PlatformRoutingDataDecoder
from bergamotshed.routes.current_table import RoutingDataDecodeError
from bergamotshed.routes.types import (
    Organisation,
    Repeatability,
    RoutedService,
    ServiceShare,
)

DECODER = PlatformRoutingDataDecoder()
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 12000,
    'target_latency_ms': 600,
    'priority': 1,
    'traffic_split': [
        {'service': 's', 'weight': 90},
        {'service': 't', 'weight': 10},
    ],
    'max_attempts': 2,
    'resumable': True,
    'gap_aim_ms': 300,
}
BODY = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's',
            'health_path': '/health',
            'max_connections': 370,
            'engine': {'slots': 64, 'kv_capacity_tokens': 720595},
        }
    ],
    'limits': {'max_body_bytes': 100, 'idle_timeout_ms': 15000},
    'tenants': [{'name': 'o', 'api_keys': ['k', 'l'], 'priority': 1}],
    'new': {'field': 1},
}


def test_decodes_the_fields_that_are_used() -> None:
    routing_data = DECODER.decode(msgspec.json.encode(BODY))
    assert routing_data.version == 7
    route = routing_data.routes[0]
    assert route.services == (ServiceShare('s', 90), ServiceShare('t', 10))
    assert route.timeout == timedelta(seconds=12)
    assert route.event_gap == timedelta(milliseconds=300)
    assert route.repeatability is Repeatability.RESUMABLE
    assert route.is_streaming
    assert routing_data.services['s'] == RoutedService('s', 370, 720595)
    assert routing_data.keys == {
        'k': Organisation('o', 1),
        'l': Organisation('o', 1),
    }
    assert routing_data.requires_key
    assert routing_data.limits.max_body_bytes == 100


@pytest.mark.parametrize(
    ('kind', 'resumable', 'expected'),
    [
        ('idempotent', False, Repeatability.REPEATABLE),
        ('non_idempotent', False, Repeatability.ONCE),
        ('non_idempotent', True, Repeatability.ONCE),
        ('streaming', False, Repeatability.ONCE),
        ('streaming', True, Repeatability.RESUMABLE),
        ('unheard_of', True, Repeatability.ONCE),
    ],
)
def test_only_declared_routes_are_repeatable(
    kind: str, resumable: bool, expected: Repeatability
) -> None:
    route = {**ROUTE, 'kind': kind, 'resumable': resumable}
    routing_data = DECODER.decode(
        msgspec.json.encode({'version': 1, 'routes': [route]})
    )
    assert routing_data.routes[0].repeatability is expected
    assert not routing_data.requires_key


@pytest.mark.parametrize(
    ('body', 'requires_key'),
    [
        ({'version': 1}, False),
        ({'version': 1, 'tenants': []}, True),
        ({'version': 1, 'tenants': [{'name': 'o', 'api_keys': []}]}, True),
    ],
)
def test_an_empty_list_of_tenants_allows_no_key(
    body: dict[str, Any], requires_key: bool
) -> None:
    routing_data = DECODER.decode(msgspec.json.encode(body))
    assert routing_data.requires_key is requires_key
    assert not routing_data.keys


@pytest.mark.parametrize(
    'value', [b'', b'{', b'[]', b'{"version":"x"}', b'{"routes":[]}']
)
def test_malformed_configurations_are_rejected(value: bytes) -> None:
    with pytest.raises(RoutingDataDecodeError):
        DECODER.decode(value)
