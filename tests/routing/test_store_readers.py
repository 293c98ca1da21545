from collections import Counter

import pytest

from bergamotshed.routing.store_readers import (
    ROUTERS_PER_READER,
    find_reader,
)


def names(count: int) -> list[str]:
    return [f'r{number}' for number in range(count)]


def readers(topic: str, routers: list[str]) -> Counter[str | None]:
    return Counter(find_reader(topic, node, routers) for node in routers)


@pytest.mark.parametrize(
    ('count', 'reader_count'),
    [(0, 0), (1, 1), (2, 1), (11, 1), (32, 1), (33, 2), (58, 2), (350, 11)],
)
def test_readers_per_domain(count: int, reader_count: int) -> None:
    assert readers('upstreams', names(count))[None] == reader_count


def test_no_reader_serves_a_multiple_of_its_share() -> None:
    served = readers('upstreams', names(350))
    served.pop(None)
    assert max(served.values()) <= 2 * ROUTERS_PER_READER


def test_every_router_reads_through_one_that_reads_itself() -> None:
    routers = names(58)
    for reader in readers('configuration', routers):
        if reader is not None:
            assert find_reader('configuration', reader, routers) is None


def test_the_order_of_the_names_does_not_matter() -> None:
    routers = names(58)
    for node in routers:
        assert find_reader('upstreams', node, routers) == find_reader(
            'upstreams', node, routers[::-1]
        )


def test_another_reader_takes_over_from_one_that_is_gone() -> None:
    routers = names(11)
    reader = next(
        find_reader('upstreams', node, routers)
        for node in routers
        if find_reader('upstreams', node, routers)
    )
    staying = [node for node in routers if node != reader]
    assert reader not in readers('upstreams', staying)


def test_topics_have_different_readers() -> None:
    routers = names(32)
    chosen = {
        topic: set(readers(topic, routers)) - {None}
        for topic in ('configuration', 'upstreams')
    }
    assert chosen['configuration'] != chosen['upstreams']
