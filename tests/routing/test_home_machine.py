import asyncio
from collections import Counter
from datetime import timedelta
from fractions import Fraction
from math import ceil

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bergamotshed.reasons import Refusal
from bergamotshed.routing import Outcome, Placement, PlacementRequest
from bergamotshed.routing.router_reservations import TRANSIT_LIMIT_S

from .support import HomeBench, request, upstreams

LOAD_BOUND = 1.25
ROUTERS = st.sampled_from(['r1', 'r2'])
ORGANISATIONS = st.sampled_from(['north', 'south'])

PlaceTask = asyncio.Task[Placement | Refusal]


class HomeMachine(RuleBasedStateMachine):
    """Two routers call one home; calls are cancelled and releases lost."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.engines = 0
        self.slots = 0
        self.pending: list[tuple[str, PlacementRequest, PlaceTask]] = []
        self.reserved: dict[int, tuple[str, PlacementRequest, Placement]] = {}
        self.last_seen_grant = {'r1': 0, 'r2': 0}
        self.count = 0
        self.lost = False

    @initialize(engines=st.integers(1, 3), slots=st.integers(1, 4))
    def begin(self, engines: int, slots: int) -> None:
        self.engines = engines
        self.slots = slots
        self.bench = HomeBench(
            engines, slots=slots, load_bound=LOAD_BOUND, queue=4
        )

    @rule(
        calls=st.integers(1, 3),
        router=ROUTERS,
        organisation=ORGANISATIONS,
        chat=st.integers(0, 2),
        history=st.sampled_from([0, 20_000]),
        suspect=st.sampled_from([False, False, False, True]),
    )
    def place(
        self,
        calls: int,
        router: str,
        organisation: str,
        chat: int,
        history: int,
        suspect: bool,
    ) -> None:
        for _ in range(calls):
            self.place_once(router, organisation, chat, history, suspect)
        self.run_tasks()

    def place_once(
        self,
        router: str,
        organisation: str,
        chat: int,
        history: int,
        suspect: bool,
    ) -> None:
        self.count += 1
        placement_request = request(
            f'chat-{chat}',
            organisation,
            request=f'request-{self.count}',
            history=history,
            suspect=suspect,
            deadline=timedelta(seconds=20),
        )
        task = self.loop.create_task(
            self.bench.home.place(router, placement_request)
        )
        self.pending.append((router, placement_request, task))

    @rule(pick=st.integers(0, 20), repeated=st.booleans())
    def release(self, pick: int, repeated: bool) -> None:
        if not self.reserved:
            return
        grant = sorted(self.reserved)[pick % len(self.reserved)]
        reserved = self.reserved.pop(grant)
        for _ in range(1 + repeated):
            self.release_once(*reserved)
        self.run_tasks()

    @rule(pick=st.integers(0, 20))
    def lose_release(self, pick: int) -> None:
        if self.reserved and pick % 4 == 0:
            self.reserved.pop(sorted(self.reserved)[pick % len(self.reserved)])
            self.lost = True

    @rule(pick=st.integers(0, 20))
    def cancel(self, pick: int) -> None:
        if self.pending:
            self.pending[pick % len(self.pending)][-1].cancel()
            self.run_tasks()

    @rule(pick=st.integers(0, 20))
    def cancel_as_a_slot_frees(self, pick: int) -> None:
        if not (self.pending and self.reserved):
            return
        self.release_once(*self.reserved.pop(min(self.reserved)))
        self.pending[pick % len(self.pending)][-1].cancel()
        self.run_tasks()

    @rule(router=ROUTERS)
    def report(self, router: str) -> None:
        counts = Counter(
            placed.upstream.name
            for owner, _, placed in self.reserved.values()
            if owner == router
        )
        self.bench.home.reconcile(
            router, 1, self.last_seen_grant[router], counts
        )
        self.run_tasks()

    @rule(seconds=st.sampled_from([0.1, 1, 30]))
    def wait(self, seconds: float) -> None:
        self.bench.clock.advance(timedelta(seconds=seconds))
        self.bench.home.refresh()
        self.run_tasks()

    @rule(live=st.integers(0, 9))
    def change_engines(self, live: int) -> None:
        self.bench.view.listed = upstreams(min(live, self.engines))

    @invariant()
    def counts_no_request_too_few(self) -> None:
        true = Counter(
            placed.upstream.name for _, _, placed in self.reserved.values()
        )
        for name, count in self.bench.home.state().in_flight.items():
            assert count >= true[name]

    @invariant()
    def leaks_no_grant(self) -> None:
        if not self.lost:
            assert self.bench.home.state().grants == len(self.reserved)

    @invariant()
    def one_suspect_per_upstream(self) -> None:
        suspects = Counter(
            placed.upstream.name
            for _, placement_request, placed in self.reserved.values()
            if placement_request.suspect
        )
        assert all(count == 1 for count in suspects.values())

    def release_once(
        self,
        router: str,
        placement_request: PlacementRequest,
        placed: Placement,
    ) -> None:
        self.bench.home.release(
            router,
            placed.grant,
            placement_request.chat,
            Outcome.DONE,
            0,
            placed.upstream.name,
        )

    def run_tasks(self) -> None:
        """Let tasks run and record their results."""
        for _ in range(4):
            self.loop.run_until_complete(asyncio.sleep(0))
        done = [entry for entry in self.pending if entry[-1].done()]
        self.pending = [entry for entry in self.pending if entry not in done]
        for router, placement_request, task in done:
            if task.cancelled():
                continue
            placed = task.result()
            if isinstance(placed, Placement):
                self.reserved[placed.grant] = (
                    router,
                    placement_request,
                    placed,
                )
                self.last_seen_grant[router] = max(
                    self.last_seen_grant[router], placed.grant
                )
                self.check_bound(placement_request)

    def check_bound(self, placement_request: PlacementRequest) -> None:
        (decision,) = self.bench.home.explain(placement_request.request)
        before = decision.counts[decision.upstream]
        assert before < self.slots
        if not placement_request.suspect:
            total = sum(decision.counts.values()) + 1
            mean = Fraction(total, len(decision.counts))
            assert before + 1 <= ceil(Fraction(5, 4) * mean)

    def teardown(self) -> None:
        """End all requests; none may remain reserved or waiting."""
        self.bench.view.listed = upstreams(self.engines)
        for _, _, task in self.pending:
            task.cancel()
        self.run_tasks()
        self.reserved.clear()
        for _ in range(3):
            self.bench.clock.advance(timedelta(seconds=TRANSIT_LIMIT_S))
            self.report('r1')
            self.report('r2')
        state = self.bench.home.state()
        assert set(state.in_flight.values()) == {0}
        assert (state.grants, state.waiting) == (0, {})
        self.loop.close()


HomeMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestHome = HomeMachine.TestCase
