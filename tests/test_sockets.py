import socket

import pytest

from bergamotshed.sockets import listen


@pytest.mark.parametrize(
    ('address', 'family'),
    [
        ('127.0.0.1:0', socket.AF_INET),
        ('::1:0', socket.AF_INET6),
        ('[::1]:0', socket.AF_INET6),
    ],
)
def test_listens_on_addresses_of_both_families(
    address: str, family: socket.AddressFamily
) -> None:
    with listen(address) as listener:
        assert listener.family is family
        assert listener.getsockname()[0] == address.rpartition(':')[0].strip(
            '[]'
        )
