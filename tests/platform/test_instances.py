import asyncio
from contextlib import suppress
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshed.clock import ManualClock
from bergamotshed.platform.instances import PlatformInstanceDecoder
from bergamotshed.store.follower import FollowerOptions, TopicFollower
from bergamotshed.store.health import StoreHealth
from bergamotshed.store.types import Changes, Entry, Listing, Topic
from bergamotshed.upstreams.instance_checks import InstanceMalformed
from bergamotshed.upstreams.registry import UpstreamRegistry
from tests.store.positions import at
from tests.store.test_follower import ScriptedStore

DECODER = PlatformInstanceDecoder()
VALID = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,'
    b'"state":"ready","sequence":1,"born":1000}'
)
MANY_DIGITS = b'9' * 5000
MALFORMED = {
    'no JSON': b'\xff\x00',
    'empty list': b'[]',
    'unknown field, nested and open': b'{"":' + b'[' * 1200,
    'unknown field, nested': VALID[:-1] + b',"x":' + b'[' * 1200 + b']' * 1200,
    'nested objects': b'{"a":' * 1200,
    'port of many digits': VALID.replace(b':80', b':' + MANY_DIGITS),
    'port zero': VALID.replace(b':80', b':0'),
    'port of other digits': VALID.replace(b':80', ':٨٠'.encode()),
    'host of another form': VALID.replace(b'10.0.0.1', b'x' * 300),
    'no host': VALID.replace(b'10.0.0.1', b''),
    'slots of many digits': VALID.replace(b':4,', b':' + MANY_DIGITS + b','),
    'slots over 64 bits': VALID.replace(b':4,', b':' + b'9' * 30 + b','),
    'negative slots': VALID.replace(b':4,', b':-4,'),
    'start over 64 bits': VALID.replace(b':1000', b':' + b'9' * 30),
    'sequence over 64 bits': VALID.replace(b'"sequence":1', b'"sequence":1e30'),
    'unknown state': VALID.replace(b'ready', b'busy'),
    'missing service': VALID.replace(b'service', b'services'),
    'models of another type': VALID[:-1] + b',"models":[1]}',
}


def test_a_valid_entry() -> None:
    instance = DECODER.decode('i-1', VALID)
    assert (instance.address, instance.slots) == ('10.0.0.1:80', 4)


@pytest.mark.parametrize('value', MALFORMED.values(), ids=MALFORMED)
def test_malformed_entries_are_reported_as_such(value: bytes) -> None:
    with pytest.raises(InstanceMalformed):
        DECODER.decode('i-1', value)


@pytest.mark.parametrize('name', ['', 'a\r\nb: c', 'a\0', 'ü', 'a b'])
def test_a_name_that_fits_no_header_is_malformed(name: str) -> None:
    with pytest.raises(InstanceMalformed):
        DECODER.decode(name, VALID)


@given(st.text(), st.binary() | st.binary().map(lambda junk: VALID + junk))
def test_any_bytes_are_decoded_or_reported(name: str, value: bytes) -> None:
    try:
        DECODER.decode(name, value)
    except InstanceMalformed:
        return


@pytest.mark.parametrize('value', MALFORMED.values(), ids=MALFORMED)
async def test_a_malformed_entry_does_not_end_the_following(
    value: bytes,
) -> None:
    """The follower read the same record again for as long as it existed."""
    clock = ManualClock()
    health = StoreHealth(clock)
    registry = UpstreamRegistry(DECODER, health, clock)
    leaving = VALID.replace(b'ready', b'draining').replace(b':1,', b':2,')
    store = ScriptedStore(
        clock,
        Listing((Entry('i-1', VALID),), at(1)),
        Changes((Entry('foreign', value),), at(2)),
        Changes((Entry('i-1', leaving),), at(3)),
    )
    follower = TopicFollower(
        store,
        Topic.UPSTREAMS,
        registry,
        FollowerOptions(timedelta(seconds=1)),
        health,
        clock,
    )
    with suppress(asyncio.CancelledError):
        await follower.run()
    assert store.calls == ['newest', 'read 1', 'read 2', 'read 3']
    assert registry.instances['i-1'].leaving
    assert registry.members('s') == ()
