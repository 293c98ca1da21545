import zlib

import pytest

from bergamotshed.control.records import (
    ConfigurationRecord,
    PublishDelta,
    PublishWhole,
    Refresh,
    decode_record,
    encode_record,
)
from bergamotshed.fleet import Fleet
from bergamotshed.fleet.delta import FleetDelta, compute_delta

from .test_configuration import make_fleet

SMALL = make_fleet('a')
LARGE = make_fleet(*(f'organisation-{number}' for number in range(500)))


@pytest.mark.parametrize(
    'record',
    [
        PublishWhole('id', -1, 0, SMALL),
        PublishWhole('id', 3, 9, LARGE),
        PublishDelta('id', 3, 9, FleetDelta()),
        PublishDelta('id', 3, 9, compute_delta(SMALL, LARGE)),
        Refresh(3, 9, LARGE),
    ],
)
def test_records_round_trip(record: ConfigurationRecord) -> None:
    assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'\x78',
        b'\xc1',
        zlib.compress(b'\xc1'),
        encode_record(Refresh(3, 9, LARGE))[:-9],
        encode_record(Refresh(3, 9, SMALL))[:-9],
        b'\x92\xa5other\x01',
    ],
)
def test_invalid_payloads_decode_to_none(payload: bytes) -> None:
    assert decode_record(payload) is None


def test_delta_of_one_organisation_is_smaller_than_the_whole() -> None:
    changed = Fleet(LARGE.services, LARGE.organisations[1:])
    delta = PublishDelta('id', 3, 9, compute_delta(LARGE, changed))
    whole = PublishWhole('id', 3, 9, changed)
    assert 10 * len(encode_record(delta)) < len(encode_record(whole))
