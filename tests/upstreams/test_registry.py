from datetime import timedelta

import msgspec
import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.platform.instances import PlatformInstanceDecoder
from bergamotshed.store.health import StoreHealth
from bergamotshed.store.types import Entry
from bergamotshed.upstreams.registry import UpstreamRegistry

SECOND = timedelta(seconds=1)


class Scene:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.health = StoreHealth(self.clock)
        self.registry = UpstreamRegistry(
            PlatformInstanceDecoder(), self.health, self.clock
        )
        self.health.record_success()

    def report(self, name: str, **fields: object) -> None:
        self.registry.apply_changes([entry(name, **fields)], 0)

    def remove(self, name: str) -> None:
        self.registry.apply_changes([Entry(name, b'')], 0)

    def outage(self, seconds: float) -> None:
        self.health.record_failure()
        self.clock.advance(timedelta(seconds=seconds))
        self.health.record_success()

    def members(self, service: str = 's') -> list[str]:
        return [member.name for member in self.registry.members(service)]


def entry(name: str, **fields: object) -> Entry:
    body = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'sequence': 1,
        'born': 1000,
        **fields,
    }
    return Entry(name, msgspec.json.encode(body))


def test_leaving_upstreams_take_nothing_new() -> None:
    scene = Scene()
    scene.report('e1')
    scene.report('e2')
    scene.report('e1', state='draining', sequence=2)
    assert scene.members() == ['e2']
    assert scene.registry.instances['e1'].leaving


@pytest.mark.parametrize(
    ('late', 'members'),
    [
        pytest.param({'sequence': 3}, [], id='before the notice'),
        pytest.param({'born': 900, 'sequence': 9}, [], id='former start'),
        pytest.param({'sequence': 5}, ['e1'], id='newer'),
        pytest.param({'born': 1100}, ['e1'], id='started again'),
    ],
)
def test_late_reports_change_nothing(
    late: dict[str, object], members: list[str]
) -> None:
    scene = Scene()
    scene.report('e1', state='draining', sequence=4)
    scene.report('e1', **late)
    assert scene.members() == members


def test_a_late_report_does_not_bring_a_removed_upstream_back() -> None:
    scene = Scene()
    scene.report('e1', sequence=4)
    scene.remove('e1')
    scene.report('e1', sequence=4)
    assert scene.members() == []
    scene.report('e1', sequence=5)
    assert scene.members() == ['e1']


@pytest.mark.parametrize(
    'fields',
    [
        {'service': 7},
        {'address': 'nowhere'},
        {'address': '10.0.0.1:99999'},
        {'state': 'odd'},
        {'slots': 'many'},
    ],
)
def test_malformed_entries_name_no_upstream(fields: dict[str, object]) -> None:
    scene = Scene()
    scene.report('e1')
    scene.report('e2', **fields)
    scene.registry.apply_changes([Entry('e3', b'\xff\x00')], 0)
    assert scene.members() == ['e1']


def test_an_address_of_another_upstream_is_left_out_until_a_new_start() -> None:
    scene = Scene()
    scene.report('e1')
    scene.registry.mark_misdirected(scene.registry.instances['e1'])
    scene.report('e1', sequence=2)
    assert scene.members() == []
    scene.report('e1', born=2000)
    assert scene.members() == ['e1']


def test_removed_outside_an_outage_is_gone_at_once() -> None:
    scene = Scene()
    scene.report('e1')
    scene.clock.advance(60 * SECOND)
    scene.remove('e1')
    assert scene.members() == []


def test_a_long_read_without_changes_is_no_outage() -> None:
    # Found on trouble-1: a read held back for ten seconds was taken for one.
    scene = Scene()
    scene.report('e1')
    scene.clock.advance(10 * SECOND)
    scene.health.record_success()
    scene.remove('e1')
    assert scene.members() == []


def test_entries_that_lapsed_in_an_outage_may_come_back() -> None:
    scene = Scene()
    scene.report('e1')
    scene.report('e2')
    scene.outage(5)
    scene.remove('e1')
    scene.remove('e2')
    assert scene.members() == ['e1', 'e2']
    scene.clock.advance(SECOND)
    scene.report('e1', sequence=2)
    scene.clock.advance(2 * SECOND)
    assert scene.members() == ['e1']


def test_a_listing_removes_what_it_lacks() -> None:
    scene = Scene()
    scene.report('e1')
    scene.registry.replace_entries([entry('e2')], 0)
    assert scene.members() == ['e2']
