"""Plays many routers that place by reports and by each other's heartbeats.

Judges the platform's bound from what the upstreams hold: no more than a small
part of the requests may reach one that has over twice the mean, plus 3.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from datetime import timedelta

import pytest

from bergamotshed.clock import ManualClock
from bergamotshed.forwarding.upstream_selection import MAX_PLACEMENTS
from bergamotshed.routing.affinity import (
    AffinityPlacer,
    PlacedUpstream,
    PlacementQuery,
    load_bound,
)
from bergamotshed.routing.cache_source import CacheSources
from bergamotshed.routing.load_home import LoadHome, needs_load_homes
from bergamotshed.routing.prompt_readers import PromptReaders
from bergamotshed.routing.types import LoadGrant
from bergamotshed.routing.upstream_loads import ExchangeOutcome, UpstreamLoads
from bergamotshed.upstreams.types import Instance, ReportedLoad
from tests.held_requests import HeldRequests
from tests.routing.test_affinity import FixedListing, instance

SEED = 20261204
MAX_SHARE_OVER_LIMIT = 0.01
#: Time until an upstream answers a prompt that it has not read, or has read.
COLD_HEAD_S = 0.3
WARM_HEAD_S = 0.04
#: Durations of the kinds of answers, equally frequent.
ANSWERS_S = (0.1, 0.8, 1.5)
#: Time between two heartbeats of a router with up to so many peers; the rate of
#: its messages stays the same with more.
HEARTBEAT_S = 0.5
GRANT_LIFETIME = timedelta(seconds=10)
PEERS_PER_HEARTBEAT = 32
#: A few subjects have most requests: weights fall with the rank.
SKEW = 0.6
#: One subject has almost a third of the requests.
POPULAR_SKEW = 1.3


@dataclass(frozen=True)
class Fleet:
    """A size of the fleet and its load.

    :ivar subjects: number of shared prompts; without any, requests share
        nothing
    :ivar skew: how fast the weights of subjects fall with their rank
    """

    routers: int
    upstreams: int
    subjects: int
    requests_per_s: float
    duration_s: float
    skew: float = SKEW


FLEETS = {
    '5 routers': Fleet(5, 12, 100, 75, 10),
    '33 routers': Fleet(33, 144, 300, 370, 5),
    '350 routers': Fleet(350, 820, 2000, 3300, 0.8),
    '5 routers, no prompts': Fleet(5, 12, 0, 288, 5),
    '33 routers, no prompts': Fleet(33, 12, 0, 288, 5),
    '33 routers, no prompts, 30 upstreams': Fleet(33, 30, 0, 720, 5),
    '100 routers, no prompts': Fleet(100, 30, 0, 720, 5),
    '4 routers, popular prompt': Fleet(4, 30, 300, 200, 6, POPULAR_SKEW),
    '8 routers, popular prompt': Fleet(8, 30, 300, 200, 6, POPULAR_SKEW),
    '33 routers, popular prompt': Fleet(33, 30, 300, 200, 6, POPULAR_SKEW),
}


@dataclass
class Upstreams:
    """What the upstreams hold, which no router knows exactly."""

    requests: HeldRequests
    read_subjects: set[tuple[str, str]] = field(default_factory=set)

    def head_delay_s(self, name: str, subject: str) -> float:
        has_read = not subject or (name, subject) in self.read_subjects
        self.read_subjects.add((name, subject))
        return WARM_HEAD_S if has_read else COLD_HEAD_S


class Router:
    """Places requests by what it has sent and by the reports it received."""

    def __init__(
        self,
        number: int,
        clock: ManualClock,
        listed: FixedListing,
        router_count: int,
        home: LoadHome,
    ) -> None:
        self.loads = UpstreamLoads(clock)
        self.readers = PromptReaders(clock)
        self.name = str(number)
        self._home = home
        self._has_home = needs_load_homes(router_count)
        self._placer = AffinityPlacer(
            listed,
            self.loads,
            CacheSources(listed, self.loads, self.readers),
            lambda _service: float('inf'),
            lambda: router_count,
            'a',
            random.Random(SEED + number).random,
        )

    def place(self, subject: str) -> tuple[Instance, int]:
        """Return the chosen upstream and the number of its home's grant."""
        for _ in range(MAX_PLACEMENTS):
            placed = self._choose(subject)
            grant = self._ask_home(placed)
            if grant.is_granted:
                break
        self.loads.record_start(placed.instance)
        return placed.instance, grant.number

    def _choose(self, subject: str) -> PlacedUpstream:
        shared_parts = (subject,) if subject else ()
        placed = self._placer.place(PlacementQuery('s', '', shared_parts))
        assert isinstance(placed, PlacedUpstream)
        return placed

    def _ask_home(self, placed: PlacedUpstream) -> LoadGrant:
        if not self._has_home:
            return LoadGrant(1, 0)
        assert placed.mean_load is not None
        grant = self._home.grant(
            self.name,
            placed.instance.name,
            load_bound(placed.mean_load),
            GRANT_LIFETIME,
            self.loads.counted_load(placed.instance.incarnation),
        )
        self.loads.record_grant(placed.instance, grant)
        return grant


class Play:
    """Plays a fleet from a cold start in virtual time."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._clock = ManualClock()
        self._rng = random.Random(SEED)
        listed = FixedListing(
            *(instance(f'e{number}') for number in range(fleet.upstreams))
        )
        self.upstreams = Upstreams(HeldRequests(listed.instances))
        home = LoadHome(self._clock)
        self._home = home
        self._routers = [
            Router(number, self._clock, listed, fleet.routers, home)
            for number in range(fleet.routers)
        ]
        ranks = range(fleet.subjects)
        self._subjects = [f'p{rank}' for rank in ranks] or ['']
        self._weights = [(rank + 1) ** -fleet.skew for rank in ranks] or [1]
        self._events: list[
            tuple[float, int, str, Router, Instance | None, int]
        ] = []
        self._event_numbers = itertools.count()

    def run(self) -> None:
        for router in self._routers:
            first_s = self._rng.uniform(0, self._heartbeat_s)
            self._schedule(first_s, 'heartbeat', router)
        arrival_s = self._next_arrival(0)
        while arrival_s < self._fleet.duration_s:
            self._handle_events(arrival_s)
            self._send(arrival_s)
            arrival_s = self._next_arrival(arrival_s)

    @property
    def _heartbeat_s(self) -> float:
        peers = len(self._routers) - 1
        return HEARTBEAT_S * max(1, peers / PEERS_PER_HEARTBEAT)

    def _next_arrival(self, now_s: float) -> float:
        return now_s + self._rng.expovariate(self._fleet.requests_per_s)

    def _send(self, now_s: float) -> None:
        router = self._rng.choice(self._routers)
        (subject,) = self._rng.choices(self._subjects, self._weights)
        chosen, grant = router.place(subject)
        self.upstreams.requests.accept(chosen.name, now_s)
        head_s = now_s + self.upstreams.head_delay_s(chosen.name, subject)
        self._schedule(head_s, 'head', router, chosen, grant)
        end_s = head_s + self._rng.choice(ANSWERS_S)
        self._schedule(end_s, 'end', router, chosen, grant)

    def _schedule(
        self,
        time_s: float,
        kind: str,
        router: Router,
        chosen: Instance | None = None,
        grant: int = 0,
    ) -> None:
        number = next(self._event_numbers)
        heapq.heappush(
            self._events, (time_s, number, kind, router, chosen, grant)
        )

    def _handle_events(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            time_s, _, kind, router, chosen, grant = heapq.heappop(self._events)
            self._advance_to(time_s)
            if chosen is None:
                self._send_heartbeat(router)
                self._schedule(time_s + self._heartbeat_s, kind, router)
            elif kind == 'head':
                held = self.upstreams.requests.held[chosen.name]
                router.loads.record_report(
                    chosen, ReportedLoad(held, 0, chosen.slots)
                )
            else:
                self.upstreams.requests.end(chosen.name)
                self._home.release(router.name, grant)
                router.loads.record_end(chosen, ExchangeOutcome.ANSWERED)
        self._advance_to(until_s)

    def _send_heartbeat(self, router: Router) -> None:
        name = str(self._routers.index(router))
        for other in self._routers:
            if other is not router:
                other.loads.peers.record(name, router.loads.own)

    def _advance_to(self, time_s: float) -> None:
        self._clock.advance(timedelta(seconds=time_s - self._clock.monotonic()))


@pytest.mark.parametrize('size', FLEETS)
def test_few_requests_reach_an_overloaded_upstream(size: str) -> None:
    play = Play(FLEETS[size])
    play.run()
    assert play.upstreams.requests.over_limit_share <= MAX_SHARE_OVER_LIMIT
