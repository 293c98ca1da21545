"""No decoder of bytes from another process raises but what it documents."""

from collections.abc import Callable
from contextlib import suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshed.control.claimrecords import decode_entries
from bergamotshed.control.lease_fold import decode_lease
from bergamotshed.control.records import decode_record
from bergamotshed.decoding import parse_number, parse_numbers
from bergamotshed.errors import BergamotshedError
from bergamotshed.fleet.codec import decode_fleet
from bergamotshed.forwarding.events import EventSplitter
from bergamotshed.platform.configuration import PlatformRoutingDataDecoder
from bergamotshed.platform.headers import PlatformDialect
from bergamotshed.platform.instances import PlatformInstanceDecoder
from bergamotshed.platform.store import decode_page, decode_records
from bergamotshed.roster.types import decode_entry
from bergamotshed.routers.configuration import unpack_fleet
from bergamotshed.routers.relayframes import RelayFrameError, read_frame
from bergamotshed.routers.wire import decode
from bergamotshed.upstreams.types import AnswerHead, Delimitation
from tests.store.positions import at

DIGITS = b'9' * 5000
NESTED_JSON = b'{"":' + b'[' * 1200
NESTED_MSGPACK = b'\x91' * 5000
HUGE_TIMES = msgspec.json.encode(
    {
        'version': 1,
        'routes': [
            {
                'name': 'r',
                'host': 'h',
                'path_prefix': '/',
                'kind': 'idempotent',
                'timeout_ms': 1e300,
            }
        ],
    }
)


def read_headers(value: bytes) -> None:
    names = (
        b'bergamotshed-server-load',
        b'keep-alive',
        b'bergamotshed-token-counts',
        b'bergamotshed-prompt-prefix',
    )
    variants = (value, b'1,2,' + value, b'timeout=' + value, b'a:' + value)
    for text in variants:
        headers = tuple((name, text) for name in names)
        head = AnswerHead(200, headers, Delimitation.LENGTH)
        PlatformDialect().read_answer(head)
        attempt = (b'bergamotshed-attempt-id', b'a')
        PlatformDialect().read_request('GET', '/', (attempt, *headers), b'', 0)


def split_events(value: bytes) -> None:
    splitter = EventSplitter(1)
    splitter.feed(b'id: ' + value + b'\ndata: x\n\n')


DECODERS: dict[str, Callable[[bytes], object]] = {
    'upstream': lambda value: PlatformInstanceDecoder().decode('i', value),
    'configuration': PlatformRoutingDataDecoder().decode,
    'listing': decode_page,
    'records': lambda value: decode_records(value, at(0)),
    'router': decode_entry,
    'peer message': decode,
    'fleet of a peer': unpack_fleet,
    'fleet of an operator': lambda value: decode_fleet(value, 'f'),
    'lease': decode_lease,
    'claims': decode_entries,
    'configuration record': decode_record,
    'headers': read_headers,
    'events': split_events,
}


VALUES = {
    'nested JSON': NESTED_JSON,
    'nested MessagePack': NESTED_MSGPACK,
    'nested after other fields': b'\x9f\x00\x92\x01' + NESTED_MSGPACK,
    'many digits': DIGITS,
    'huge durations': HUGE_TIMES,
}


@pytest.mark.parametrize('decoder', DECODERS.values(), ids=DECODERS)
@pytest.mark.parametrize('value', VALUES.values(), ids=VALUES)
def test_extreme_values_are_decoded_or_rejected(
    decoder: Callable[[bytes], object], value: bytes
) -> None:
    with suppress(BergamotshedError):
        decoder(value)


@pytest.mark.parametrize('decoder', DECODERS.values(), ids=DECODERS)
@given(value=st.binary())
def test_any_bytes_are_decoded_or_rejected(
    decoder: Callable[[bytes], object], value: bytes
) -> None:
    with suppress(BergamotshedError):
        decoder(value)


@pytest.mark.parametrize('payload', [NESTED_MSGPACK, b'\xff', b'', b'\x92\x00'])
async def test_a_malformed_relay_frame(payload: bytes) -> None:
    content = len(payload).to_bytes(4, 'big') + payload

    class Reader:
        position = 0

        async def readexactly(self, count: int) -> bytes:
            self.position += count
            return content[self.position - count : self.position]

    with pytest.raises(RelayFrameError):
        await read_frame(Reader())


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        ('0', 0),
        ('0017', 17),
        ('9' * 18, 10**18 - 1),
        ('9' * 19, None),
        ('', None),
        ('-1', None),
        ('1.0', None),
        (' 1', None),
        ('٣', None),
        ('²', None),
    ],
)
def test_numbers(text: str, number: int | None) -> None:
    assert parse_number(text) == number


@pytest.mark.parametrize(
    ('text', 'numbers'),
    [('3,0, 8', (3, 0, 8)), ('3', (3,)), ('3,,8', ()), ('', ()), ('1,x', ())],
)
def test_lists_of_numbers(text: str, numbers: tuple[int, ...]) -> None:
    assert parse_numbers(text) == numbers
