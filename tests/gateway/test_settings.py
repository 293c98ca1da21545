from bergamotshed.gateway.composition import _admission_options
from bergamotshed.gateway.settings import (
    AddressSettings,
    GatewaySettings,
    NodeSettings,
    StoreSettings,
)

#: Part of the time to revoke a key for which a router without the store is
#: still expected to serve, by the platform's rule of what callers are owed.
OWED_SHARE = 0.6


def test_an_outage_refuses_nobody_who_is_still_owed_an_answer() -> None:
    # Found on trouble-3: with reads of 1.5 s the refusals began up to 0.25 s
    # before that time.
    settings = GatewaySettings(
        NodeSettings('gw-1', 'a'),
        AddressSettings(*['127.0.0.1:1'] * 5),
        StoreSettings('127.0.0.1:1'),
    )
    oldest = _admission_options(settings).max_keyed_age.total_seconds() * 1000
    served = oldest - settings.store.configuration_wait_ms
    assert served >= OWED_SHARE * settings.configuration.revoke_ms
