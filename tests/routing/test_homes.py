import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotshed.routing.hashing import rank, stable_hash
from bergamotshed.routing.homes import home_of, partition_of, rank_homes
from bergamotshed.routing.view import RouterNode

from .support import routers

KEYS = [stable_hash('chat', str(number)) for number in range(9000)]
NAMES = [f'e{number}' for number in range(9)]


def node(name: str, flags: str) -> RouterNode:
    return RouterNode(
        name, '', '', 'a', leaving='l' in flags, suspect='s' in flags
    )


@pytest.mark.parametrize(
    ('flags', 'allowed'),
    [
        (['', '', ''], {'r0', 'r1', 'r2'}),
        (['l', '', 's'], {'r1'}),
        (['s', 's', 'l'], {'r0', 'r1'}),
        (['l', 'ls'], {None}),
        ([], {None}),
    ],
)
def test_home_is_a_trusted_router(
    flags: list[str], allowed: set[str | None]
) -> None:
    nodes = [node(f'r{n}', flag) for n, flag in enumerate(flags)]
    homes = {home_of(f'service-{n}', n, nodes) for n in range(60)}
    assert homes == allowed


def test_suspects_come_last() -> None:
    nodes = [node('r0', 's'), node('r1', ''), node('r2', '')]
    assert rank_homes('booking', 0, nodes)[-1] == 'r0'


def test_home_moves_only_when_its_router_leaves() -> None:
    before = {n: home_of('booking', n, routers(4)) for n in range(400)}
    after = {n: home_of('booking', n, routers(4)[:3]) for n in range(400)}
    moved = {n for n in before if before[n] != after[n]}
    assert moved == {n for n in before if before[n] == 'r3'}


def test_stable_hash_is_the_same_everywhere() -> None:
    assert stable_hash('a', 'b') == 2546909018149085986
    assert stable_hash('ab') != stable_hash('a', 'b')


def test_rank_moves_only_one_share_when_a_name_joins() -> None:
    moved = sum(
        rank(key, NAMES)[0] != rank(key, [*NAMES, 'e9'])[0] for key in KEYS
    )
    assert moved / len(KEYS) <= 1.1 / len([*NAMES, 'e9'])


def test_rank_keeps_the_order_of_the_rest() -> None:
    for key in KEYS[:100]:
        order = rank(key, NAMES)
        assert rank(key, NAMES[:-1]) == [n for n in order if n != 'e8']


@given(st.integers(0, 2**64 - 1), st.integers(1, 64))
def test_partition_is_in_range(chat: int, partitions: int) -> None:
    assert 0 <= partition_of(chat, partitions) < partitions
