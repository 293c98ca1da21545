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

Asked = asyncio.Task[Placement | Refusal]


class HomeMachine(RuleBasedStateMachine):
    """Two routers ask one home; calls are cancelled and releases lost."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.engines = 0
        self.slots = 0
        self.asked: list[tuple[str, PlacementRequest, Asked]] = []
        self.held: dict[int, tuple[str, PlacementRequest, Placement]] = {}
        self.seen = {'r1': 0, 'r2': 0}
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
    def ask(
        self,
        calls: int,
        router: str,
        organisation: str,
        chat: int,
        history: int,
        suspect: bool,
    ) -> None:
        for _ in range(calls):
            self.ask_once(router, organisation, chat, history, suspect)
        self.spin()

    def ask_once(
        self,
        router: str,
        organisation: str,
        chat: int,
        history: int,
        suspect: bool,
    ) -> None:
        self.count += 1
        wanted = request(
            f'chat-{chat}',
            organisation,
            request=f'request-{self.count}',
            history=history,
            suspect=suspect,
            deadline=timedelta(seconds=20),
        )
        task = self.loop.create_task(self.bench.home.place(router, wanted))
        self.asked.append((router, wanted, task))

    @rule(pick=st.integers(0, 20), repeated=st.booleans())
    def release(self, pick: int, repeated: bool) -> None:
        if not self.held:
            return
        grant = sorted(self.held)[pick % len(self.held)]
        held = self.held.pop(grant)
        for _ in range(1 + repeated):
            self.give_back(*held)
        self.spin()

    @rule(pick=st.integers(0, 20))
    def lose_release(self, pick: int) -> None:
        if self.held and pick % 4 == 0:
            self.held.pop(sorted(self.held)[pick % len(self.held)])
            self.lost = True

    @rule(pick=st.integers(0, 20))
    def cancel(self, pick: int) -> None:
        if self.asked:
            self.asked[pick % len(self.asked)][-1].cancel()
            self.spin()

    @rule(pick=st.integers(0, 20))
    def cancel_as_a_slot_frees(self, pick: int) -> None:
        if not (self.asked and self.held):
            return
        self.give_back(*self.held.pop(min(self.held)))
        self.asked[pick % len(self.asked)][-1].cancel()
        self.spin()

    @rule(router=ROUTERS)
    def report(self, router: str) -> None:
        counts = Counter(
            placed.upstream.name
            for owner, _, placed in self.held.values()
            if owner == router
        )
        self.bench.home.reconcile(router, 1, self.seen[router], counts)
        self.spin()

    @rule(seconds=st.sampled_from([0.1, 1, 30]))
    def wait(self, seconds: float) -> None:
        self.bench.clock.advance(timedelta(seconds=seconds))
        self.bench.home.refresh()
        self.spin()

    @rule(live=st.integers(0, 9))
    def change_engines(self, live: int) -> None:
        self.bench.view.listed = upstreams(min(live, self.engines))

    @invariant()
    def counts_no_request_too_few(self) -> None:
        true = Counter(
            placed.upstream.name for _, _, placed in self.held.values()
        )
        for name, count in self.bench.home.state().in_flight.items():
            assert count >= true[name]

    @invariant()
    def leaks_no_grant(self) -> None:
        if not self.lost:
            assert self.bench.home.state().grants == len(self.held)

    @invariant()
    def one_suspect_an_upstream(self) -> None:
        suspects = Counter(
            placed.upstream.name
            for _, wanted, placed in self.held.values()
            if wanted.suspect
        )
        assert all(count == 1 for count in suspects.values())

    def give_back(
        self, router: str, wanted: PlacementRequest, placed: Placement
    ) -> None:
        self.bench.home.release(
            router,
            placed.grant,
            wanted.chat,
            Outcome.DONE,
            0,
            placed.upstream.name,
        )

    def spin(self) -> None:
        """Let tasks run and take in what they returned."""
        for _ in range(4):
            self.loop.run_until_complete(asyncio.sleep(0))
        done = [entry for entry in self.asked if entry[-1].done()]
        self.asked = [entry for entry in self.asked if entry not in done]
        for router, wanted, task in done:
            if task.cancelled():
                continue
            placed = task.result()
            if isinstance(placed, Placement):
                self.held[placed.grant] = (router, wanted, placed)
                self.seen[router] = max(self.seen[router], placed.grant)
                self.check_bound(wanted)

    def check_bound(self, wanted: PlacementRequest) -> None:
        (decision,) = self.bench.home.explain(wanted.request)
        before = decision.counts[decision.upstream]
        assert before < self.slots
        if not wanted.suspect:
            total = sum(decision.counts.values()) + 1
            mean = Fraction(total, len(decision.counts))
            assert before + 1 <= ceil(Fraction(5, 4) * mean)

    def teardown(self) -> None:
        """End everything; nothing may stay reserved or waiting."""
        self.bench.view.listed = upstreams(self.engines)
        for _, _, task in self.asked:
            task.cancel()
        self.spin()
        self.held.clear()
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
