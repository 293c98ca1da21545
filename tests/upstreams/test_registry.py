from datetime import timedelta

import msgspec
import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.platform.instances import PlatformInstanceDecoder
from bergamotshed.store.health import StoreHealth
from bergamotshed.store.types import Entry
from bergamotshed.upstreams.registry import UpstreamRegistry

SECOND = timedelta(seconds=1)


class RegistryFixture:
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


def test_leaving_upstreams_get_no_new_requests() -> None:
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.report('e2')
    fixture.report('e1', state='draining', sequence=2)
    assert fixture.members() == ['e2']
    assert fixture.registry.instances['e1'].leaving


@pytest.mark.parametrize(
    ('report', 'members'),
    [
        pytest.param({'sequence': 3}, [], id='before the leaving report'),
        pytest.param({'born': 900, 'sequence': 9}, [], id='earlier start'),
        pytest.param({'sequence': 5}, ['e1'], id='newer'),
        pytest.param({'born': 1100}, ['e1'], id='restarted'),
    ],
)
def test_outdated_reports_are_ignored(
    report: dict[str, object], members: list[str]
) -> None:
    fixture = RegistryFixture()
    fixture.report('e1', state='draining', sequence=4)
    fixture.report('e1', **report)
    assert fixture.members() == members


def test_an_outdated_report_does_not_restore_a_removed_upstream() -> None:
    fixture = RegistryFixture()
    fixture.report('e1', sequence=4)
    fixture.remove('e1')
    fixture.report('e1', sequence=4)
    assert fixture.members() == []
    fixture.report('e1', sequence=5)
    assert fixture.members() == ['e1']


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
def test_malformed_entries_are_ignored(fields: dict[str, object]) -> None:
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.report('e2', **fields)
    fixture.registry.apply_changes([Entry('e3', b'\xff\x00')], 0)
    assert fixture.members() == ['e1']


def test_a_misdirected_upstream_is_excluded_until_it_restarts() -> None:
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.registry.mark_misdirected(fixture.registry.instances['e1'])
    fixture.report('e1', sequence=2)
    assert fixture.members() == []
    fixture.report('e1', born=2000)
    assert fixture.members() == ['e1']


def test_without_an_outage_a_removal_takes_effect_at_once() -> None:
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.clock.advance(60 * SECOND)
    fixture.remove('e1')
    assert fixture.members() == []


def test_a_long_read_without_changes_is_no_outage() -> None:
    # A blocking read of ten seconds was mistaken for an outage of the store.
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.clock.advance(10 * SECOND)
    fixture.health.record_success()
    fixture.remove('e1')
    assert fixture.members() == []


def test_entries_that_expired_in_an_outage_may_be_listed_again() -> None:
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.report('e2')
    fixture.outage(5)
    fixture.remove('e1')
    fixture.remove('e2')
    assert fixture.members() == ['e1', 'e2']
    fixture.clock.advance(SECOND)
    fixture.report('e1', sequence=2)
    fixture.clock.advance(2 * SECOND)
    assert fixture.members() == ['e1']


def test_a_listing_removes_upstreams_that_it_lacks() -> None:
    fixture = RegistryFixture()
    fixture.report('e1')
    fixture.registry.replace_entries([entry('e2')], 0)
    assert fixture.members() == ['e2']


def test_a_version_that_came_and_went_within_one_read_is_remembered() -> None:
    # A stream that it had begun was resumed at another version.
    fixture = RegistryFixture()
    fixture.report('e1')
    brief = entry('e2', version='v2')
    fixture.registry.apply_changes([brief, Entry('e2', b'')], 0)
    versions = fixture.registry.versions.recent_versions('s', SECOND)
    assert versions == {'v1', 'v2'}
