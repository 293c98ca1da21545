from bergamotshed.gateway.forwarding_parts import admission_options
from bergamotshed.gateway.settings import (
    AddressSettings,
    GatewaySettings,
    NodeSettings,
    StoreSettings,
)

#: Share of the time to revoke a key for which the platform requires a router
#: without the store to keep serving.
REQUIRED_SHARE = 0.6


def test_requests_are_served_for_the_required_part_of_an_outage() -> None:
    # With reads of 1.5 s the refusals began up to 0.25 s too early.
    settings = GatewaySettings(
        NodeSettings('gw-1', 'a'),
        AddressSettings(*['127.0.0.1:1'] * 5),
        StoreSettings('127.0.0.1:1'),
    )
    max_age_ms = (
        admission_options(settings).max_keyed_age.total_seconds() * 1000
    )
    served_ms = max_age_ms - settings.store.configuration_wait_ms
    assert served_ms >= REQUIRED_SHARE * settings.configuration.revoke_ms
