"""
tools.measure.simulation
~~~~~~~~~~~~~~~~~~~~~~~~

A discrete-event simulation of arrivals and answers that calls the placement
code.
"""

__all__ = (
    'EngineChange',
    'OverBoundCause',
    'Simulation',
    'SimulationResult',
    'Surge',
)

import asyncio
import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import partial

from bergamotshed.reasons import Refusal
from bergamotshed.routing import Placement, PlacementRequest, UpstreamState
from bergamotshed.routing.bound import capacity

from .engine import EngineModel, answer_duration_s
from .strategies import SERVICE, PlacementStrategy
from .workload import Chat, Workload

MAX_DEADLINE = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class EngineChange:
    """A change of an engine's state at a given time.

    :ivar state: the new state; ``None`` removes the engine
    :ivar loses_cache: the engine drops its cache
    """

    at_s: float
    engine: str
    state: UpstreamState | None
    loses_cache: bool = False


@dataclass(frozen=True, slots=True)
class Surge:
    """Additional load of one organisation, starting at a given time.

    :ivar rate: additional requests a second, each a new chat
    """

    at_s: float
    organisation: str
    rate: float


class OverBoundCause(Enum):
    """Why an engine's load rose above the bound."""

    PLACEMENT = 'a placement'
    FINISH = 'a finish elsewhere'
    MEMBERSHIP = 'a join or leave'


@dataclass(slots=True)
class SimulationResult:
    """Counters of one run.

    :ivar returning_turns: turns of chats that have a history
    :ivar hits: returning turns with more than half of the history cached
    :ivar waits_s: time to placement by organisation
    :ivar load_skews: max/mean load, and how long it lasted in seconds
    :ivar above_bound_s: periods with an engine above the bound
    :ivar max_excess: most requests above the bound on one engine
    """

    placed: int = 0
    refused: int = 0
    returning_turns: int = 0
    hits: int = 0
    history_tokens: int = 0
    cached_tokens: int = 0
    waits_s: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    load_skews: list[tuple[float, float]] = field(default_factory=list)
    above_bound_s: list[float] = field(default_factory=list)
    causes: Counter[OverBoundCause] = field(default_factory=Counter)
    duration_s: float = 0
    max_excess: int = 0

    @property
    def hit_share(self) -> float:
        """Return the share of returning turns that were served from cache."""
        return self.hits / max(self.returning_turns, 1)

    @property
    def token_share(self) -> float:
        """Return the share of history tokens served from cache."""
        return self.cached_tokens / max(self.history_tokens, 1)

    def skew_quantile(self, quantile: float) -> float:
        """Return max/mean load at a quantile of time."""
        ordered = sorted(self.load_skews)
        budget = quantile * sum(weight for _, weight in ordered)
        for ratio, weight in ordered:
            budget -= weight
            if budget <= 0:
                return ratio
        return 0

    @property
    def above_bound_share(self) -> float:
        """Return the share of time with an engine above the bound."""
        return sum(self.above_bound_s) / max(self.duration_s, 1)


class Simulation:
    """Runs one placement strategy on one workload.

    :param warm_up_s: seconds before requests are counted
    :param use_placement_tokens: callers send their placement tokens back
    :param forward_cache_events: homes receive the engines' cache events
    """

    def __init__(
        self,
        strategy: PlacementStrategy,
        seed: int,
        *,
        duration_s: float,
        warm_up_s: float,
        changes: tuple[EngineChange, ...] = (),
        surge: Surge | None = None,
        use_placement_tokens: bool = False,
        forward_cache_events: bool = True,
    ) -> None:
        self.result = SimulationResult()
        self.in_flight: dict[str, Counter[str]] = defaultdict(Counter)
        self._strategy = strategy
        self._fleet = strategy.fleet
        self._workload = Workload(self._fleet.size, seed)
        self._end = warm_up_s + duration_s
        self._warm_up_s = warm_up_s
        self._use_placement_tokens = use_placement_tokens
        self._forward_cache_events = forward_cache_events
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._above_bound_since: float | None = None
        self._previous_loads: dict[str, int] = {}
        cache = self._fleet.size.cache_tokens
        self._engines = {
            name: EngineModel(cache) for name in self._fleet.states
        }
        for change in changes:
            self.schedule(change.at_s, partial(self._apply_change, change))

        if surge:
            surge_rng = random.Random(seed)
            self.schedule(
                surge.at_s, partial(self._start_surge_chat, surge, surge_rng)
            )

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Call the action at the given simulated time."""
        self._sequence += 1
        heapq.heappush(self._scheduled, (at_s, self._sequence, action))

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return self._fleet.clock.monotonic()

    async def run(self) -> SimulationResult:
        """Run the simulation to its end and return the result."""
        self.schedule(0, self._start_chat)
        if self._strategy.tick_interval_s:
            self.schedule(self._strategy.tick_interval_s, self._tick)
        while self._scheduled and self._scheduled[0][0] < self._end:
            at_s, _, action = heapq.heappop(self._scheduled)
            self._record_load(at_s - self.now)
            self._fleet.clock.advance(timedelta(seconds=at_s - self.now))
            action()
            if self._tasks:
                self._strategy.refresh()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.result.duration_s = self._end - self._warm_up_s
        return self.result

    def _tick(self) -> None:
        self._strategy.tick(self.in_flight)
        self.schedule(self.now + self._strategy.tick_interval_s, self._tick)

    def _apply_change(self, change: EngineChange) -> None:
        if change.state is None:
            self._fleet.states.pop(change.engine, None)
        else:
            self._fleet.states[change.engine] = change.state
        if change.engine not in self._engines:
            cache = self._fleet.size.cache_tokens
            self._engines[change.engine] = EngineModel(cache)
        if change.loses_cache:
            self._engines[change.engine].clear()
        self._fleet.refresh_upstreams()

    def _start_chat(self) -> None:
        self._schedule_arrival(self._workload.new_chat())
        self.schedule(
            self.now + self._workload.next_chat_gap_s(), self._start_chat
        )

    def _start_surge_chat(self, surge: Surge, rng: random.Random) -> None:
        self._schedule_arrival(self._workload.new_chat(surge.organisation))
        self.schedule(
            self.now + rng.expovariate(surge.rate),
            partial(self._start_surge_chat, surge, rng),
        )

    def _schedule_arrival(self, chat: Chat) -> None:
        router = f'r{chat.rng.randrange(self._fleet.size.routers)}'
        self.schedule(
            self.now + self._strategy.delay_s,
            partial(self._start_request, chat, router),
        )

    def _start_request(self, chat: Chat, router: str) -> None:
        task = asyncio.get_running_loop().create_task(
            self._place_request(chat, router)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _place_request(self, chat: Chat, router: str) -> None:
        self._sequence += 1
        request = PlacementRequest(
            request=f'q{self._sequence}',
            service=SERVICE,
            organisation=chat.organisation if self._fleet.is_fair else 'org-0',
            chat=chat.key,
            history=chat.history_tokens,
            deadline=MAX_DEADLINE,
            preferred=chat.upstream if self._use_placement_tokens else '',
        )
        arrived_at = self.now
        placement = await self._strategy.place(router, request)
        is_counted = arrived_at >= self._warm_up_s
        if isinstance(placement, Refusal):
            self.result.refused += is_counted
            return
        if is_counted:
            self.result.placed += 1
            self.result.waits_s[chat.organisation].append(self.now - arrived_at)
        self._start_answer(chat, router, request, placement, is_counted)

    def _start_answer(
        self,
        chat: Chat,
        router: str,
        request: PlacementRequest,
        placement: Placement,
        is_counted: bool,
    ) -> None:
        name = placement.upstream.name
        engine = self._engines[name]
        cached_tokens = engine.cached_tokens(chat.key, chat.history_tokens)
        if is_counted and chat.history_tokens:
            self.result.returning_turns += 1
            self.result.hits += cached_tokens * 2 > chat.history_tokens
            self.result.history_tokens += chat.history_tokens
            self.result.cached_tokens += cached_tokens
        output_tokens = self._workload.output_tokens(chat)
        uncached_tokens = (
            chat.history_tokens + chat.prompt_tokens - cached_tokens
        )
        engine.in_flight += 1
        self.in_flight[router][name] += 1
        chat.upstream = name
        finish = partial(
            self._finish_answer,
            chat,
            router,
            request,
            placement,
            cached_tokens,
            output_tokens,
        )
        self.schedule(
            self.now + answer_duration_s(uncached_tokens, output_tokens), finish
        )

    def _finish_answer(
        self,
        chat: Chat,
        router: str,
        request: PlacementRequest,
        placement: Placement,
        cached_tokens: int,
        output_tokens: int,
    ) -> None:
        name = placement.upstream.name
        engine = self._engines[name]
        engine.in_flight -= 1
        self.in_flight[router][name] -= 1
        chat.history_tokens += chat.prompt_tokens + output_tokens
        chat.prompt_tokens = self._workload.next_prompt_tokens(chat)
        for evicted in engine.store(chat.key, chat.history_tokens):
            if self._forward_cache_events:
                self._strategy.evict(evicted, name)
        release = partial(
            self._strategy.release, router, request, placement, cached_tokens
        )
        self.schedule(self.now + self._strategy.delay_s, release)
        pause_s = self._workload.next_pause_s(chat)
        if pause_s is not None:
            self.schedule(
                self.now + pause_s, partial(self._schedule_arrival, chat)
            )

    def _record_load(self, duration_s: float) -> None:
        """Record the engines' load since the previous event."""
        if self.now < self._warm_up_s:
            return
        loads = {
            name: self._engines[name].in_flight
            for name, state in self._fleet.states.items()
            if state is UpstreamState.LIVE
        }
        total = sum(loads.values())
        if not total:
            return
        most_loaded = max(loads, key=loads.__getitem__)
        ratio = loads[most_loaded] * len(loads) / total
        self.result.load_skews.append((ratio, duration_s))
        service = self._fleet.configuration.fleet.services[0]
        bound = capacity(service.load_bound, total, len(loads))
        excess = loads[most_loaded] - bound
        if excess > 0:
            self.result.max_excess = max(self.result.max_excess, excess)
            if self._above_bound_since is None:
                self._above_bound_since = self.now
                self.result.causes[self._cause_of(most_loaded, loads)] += 1
        elif self._above_bound_since is not None:
            self.result.above_bound_s.append(self.now - self._above_bound_since)
            self._above_bound_since = None
        self._previous_loads = loads

    def _cause_of(
        self, most_loaded: str, loads: dict[str, int]
    ) -> OverBoundCause:
        """Return what changed since the load was last recorded."""
        if loads.keys() != self._previous_loads.keys():
            return OverBoundCause.MEMBERSHIP
        if loads[most_loaded] > self._previous_loads[most_loaded]:
            return OverBoundCause.PLACEMENT
        return OverBoundCause.FINISH
