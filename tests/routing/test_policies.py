import pytest

from bergamotshed.routing.hashing import rank, stable_hash
from bergamotshed.routing.memory import ChatMemory
from bergamotshed.routing.policies import (
    PlacementReason,
    PolicyQuery,
    Pool,
    find_policy,
    policy_names,
)

CHAT = stable_hash('north', 'chat')
ORDER = rank(CHAT, ['e0', 'e1', 'e2', 'e3'])
FIRST, SECOND, THIRD, FOURTH = ORDER


def choose(
    policy: str,
    loads: dict[str, int],
    *,
    history: tuple[str, ...] = (),
    bound: int = 3,
    preferred: str = '',
    can_wait: bool = False,
) -> tuple[str, PlacementReason] | None:
    memory = ChatMemory(100)
    for upstream in history:
        memory.remember(CHAT, upstream, 1000)
    counts = {name: loads.get(name, 0) for name in sorted(ORDER)}
    pool = Pool(tuple(counts), counts, bound, spread=2)
    placement_policy = find_policy(policy)
    assert placement_policy
    choice = placement_policy.choose(
        PolicyQuery(CHAT, preferred, can_wait), pool, memory
    )
    return (choice.upstream, choice.reason) if choice else None


FULL = dict.fromkeys(ORDER, 3)


@pytest.mark.parametrize(
    ('policy', 'loads', 'options', 'expected'),
    [
        ('rendezvous', FULL, {}, (FIRST, PlacementReason.RENDEZVOUS)),
        ('bounded', {}, {}, (FIRST, PlacementReason.RENDEZVOUS)),
        ('bounded', {FIRST: 3}, {}, (SECOND, PlacementReason.DISPLACED)),
        ('bounded', FULL, {}, None),
        (
            'least-loaded',
            {FIRST: 1, SECOND: 1, FOURTH: 1},
            {},
            (THIRD, PlacementReason.LEAST_LOADED),
        ),
        ('remembered', {FIRST: 1}, {}, (SECOND, PlacementReason.RENDEZVOUS)),
        (
            'remembered',
            {FIRST: 2, SECOND: 2},
            {},
            (FIRST, PlacementReason.RENDEZVOUS),
        ),
        (
            'remembered',
            {FIRST: 3, SECOND: 3},
            {},
            (THIRD, PlacementReason.DISPLACED),
        ),
        ('remembered', FULL, {}, None),
        (
            'remembered',
            {FOURTH: 2},
            {'history': (FOURTH,)},
            (FOURTH, PlacementReason.REMEMBERED),
        ),
        (
            'remembered',
            {FOURTH: 3},
            {'history': (FOURTH,), 'can_wait': True},
            None,
        ),
        (
            'remembered',
            {FOURTH: 3, FIRST: 1},
            {'history': (FOURTH,)},
            (SECOND, PlacementReason.DISPLACED),
        ),
        (
            'remembered',
            {FOURTH: 3},
            {'history': (THIRD, FOURTH)},
            (THIRD, PlacementReason.FORMER),
        ),
        (
            'remembered',
            {},
            {'history': (THIRD, FOURTH)},
            (FOURTH, PlacementReason.REMEMBERED),
        ),
        (
            'remembered',
            {FIRST: 1},
            {'history': ('gone',), 'can_wait': True},
            (SECOND, PlacementReason.RENDEZVOUS),
        ),
        (
            'remembered',
            {},
            {'preferred': THIRD},
            (THIRD, PlacementReason.TOKEN),
        ),
        (
            'remembered',
            {THIRD: 3, FIRST: 1},
            {'preferred': THIRD},
            (SECOND, PlacementReason.RENDEZVOUS),
        ),
        (
            'remembered',
            {},
            {'preferred': THIRD, 'history': (FOURTH,)},
            (FOURTH, PlacementReason.REMEMBERED),
        ),
    ],
)
def test_choice(
    policy: str,
    loads: dict[str, int],
    options: dict[str, object],
    expected: tuple[str, PlacementReason] | None,
) -> None:
    assert choose(policy, loads, **options) == expected  # type: ignore[arg-type]


def test_policies_are_found_by_name_and_alias() -> None:
    assert policy_names() == (
        'bounded',
        'least-loaded',
        'remembered',
        'rendezvous',
    )
    assert type(find_policy('default')) is type(find_policy('remembered'))
    assert find_policy('unheard-of') is None
