"""
tools.measure.simulation
~~~~~~~~~~~~~~~~~~~~~~~~

A small loop over arrivals and answers that calls the decision code.
"""

__all__ = ('Cause', 'Change', 'Figures', 'Simulation', 'Surge')

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

from .engine import EngineModel, answer_seconds
from .routes import SERVICE, Route
from .workload import Chat, Workload

MAX_DEADLINE = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class Change:
    """An engine's change at a time.

    :ivar lost: its cache is lost
    """

    at: float
    engine: str
    state: UpstreamState | None
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Surge:
    """More chats of one organisation from a time on.

    :ivar rate: further requests a second, each a chat of its own
    """

    at: float
    organisation: str
    rate: float


class Cause(Enum):
    """What brought an engine above the bound."""

    PLACED = 'a placement'
    FINISHED = 'a finish elsewhere'
    MEMBERS = 'a join or leave'


@dataclass(slots=True)
class Figures:
    """What one run came to."""

    placed: int = 0
    refused: int = 0
    returning: int = 0
    hits: int = 0
    history: int = 0
    cached: int = 0
    waits: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    skew: list[tuple[float, float]] = field(default_factory=list)
    above: list[float] = field(default_factory=list)
    causes: Counter[Cause] = field(default_factory=Counter)
    seconds: float = 0
    excess: int = 0

    @property
    def hit_share(self) -> float:
        """Return the share of returning turns that found their history."""
        return self.hits / max(self.returning, 1)

    @property
    def token_share(self) -> float:
        """Return the share of history tokens served from cache."""
        return self.cached / max(self.history, 1)

    def skew_at(self, quantile: float) -> float:
        """Return max/mean load at a quantile of time."""
        ordered = sorted(self.skew)
        budget = quantile * sum(weight for _, weight in ordered)
        for ratio, weight in ordered:
            budget -= weight
            if budget <= 0:
                return ratio
        return 0

    @property
    def above_share(self) -> float:
        """Return the share of time with an engine above the bound."""
        return sum(self.above) / max(self.seconds, 1)


class Simulation:
    """Runs one route over one workload.

    :param warm_up: seconds before figures count
    :param tokens: callers give placement tokens back
    :param events: engines' cache events reach the homes
    """

    def __init__(
        self,
        route: Route,
        seed: int,
        *,
        seconds: float,
        warm_up: float,
        changes: tuple[Change, ...] = (),
        surge: Surge | None = None,
        tokens: bool = False,
        events: bool = True,
    ) -> None:
        self.figures = Figures()
        self.running: dict[str, Counter[str]] = defaultdict(Counter)
        self._route = route
        self._world = route.world
        self._workload = Workload(self._world.sizes, seed)
        self._end = warm_up + seconds
        self._warm_up = warm_up
        self._tokens = tokens
        self._events = events
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._above_since: float | None = None
        self._before: dict[str, int] = {}
        cache = self._world.sizes.cache_tokens
        self._engines = {
            name: EngineModel(cache) for name in self._world.states
        }
        for change in changes:
            self.at(change.at, partial(self._change, change))

        if surge:
            surging = random.Random(seed)
            self.at(surge.at, partial(self._surge, surge, surging))

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._count += 1
        heapq.heappush(self._heap, (time, self._count, action))

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return self._world.clock.monotonic()

    async def run(self) -> Figures:
        """Run to the end and return the figures."""
        self.at(0, self._new_chat)
        if self._route.interval:
            self.at(self._route.interval, self._tick)
        while self._heap and self._heap[0][0] < self._end:
            time, _, action = heapq.heappop(self._heap)
            self._watch(time - self.now)
            self._world.clock.advance(timedelta(seconds=time - self.now))
            action()
            if self._tasks:
                self._route.refresh()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.figures.seconds = self._end - self._warm_up
        return self.figures

    def _tick(self) -> None:
        self._route.tick(self.running)
        self.at(self.now + self._route.interval, self._tick)

    def _change(self, change: Change) -> None:
        if change.state is None:
            self._world.states.pop(change.engine, None)
        else:
            self._world.states[change.engine] = change.state
        if change.engine not in self._engines:
            cache = self._world.sizes.cache_tokens
            self._engines[change.engine] = EngineModel(cache)
        if change.lost:
            self._engines[change.engine].clear()
        self._world.changed()

    def _new_chat(self) -> None:
        self._arrive(self._workload.new_chat())
        self.at(self.now + self._workload.first_gap(), self._new_chat)

    def _surge(self, surge: Surge, rng: random.Random) -> None:
        self._arrive(self._workload.new_chat(surge.organisation))
        self.at(
            self.now + rng.expovariate(surge.rate),
            partial(self._surge, surge, rng),
        )

    def _arrive(self, chat: Chat) -> None:
        router = f'r{chat.rng.randrange(self._world.sizes.routers)}'
        self.at(self.now + self._route.delay, partial(self._ask, chat, router))

    def _ask(self, chat: Chat, router: str) -> None:
        task = asyncio.get_running_loop().create_task(
            self._answer(chat, router)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, chat: Chat, router: str) -> None:
        self._count += 1
        request = PlacementRequest(
            request=f'q{self._count}',
            service=SERVICE,
            organisation=chat.organisation if self._world.fair else 'org-0',
            chat=chat.key,
            history=chat.history,
            deadline=MAX_DEADLINE,
            preferred=chat.upstream if self._tokens else '',
        )
        asked = self.now
        placed = await self._route.place(router, request)
        counted = asked >= self._warm_up
        if isinstance(placed, Refusal):
            self.figures.refused += counted
            return
        if counted:
            self.figures.placed += 1
            self.figures.waits[chat.organisation].append(self.now - asked)
        self._begin(chat, router, request, placed, counted)

    def _begin(
        self,
        chat: Chat,
        router: str,
        request: PlacementRequest,
        placed: Placement,
        counted: bool,
    ) -> None:
        name = placed.upstream.name
        engine = self._engines[name]
        cached = engine.cached(chat.key, chat.history)
        if counted and chat.history:
            self.figures.returning += 1
            self.figures.hits += cached * 2 > chat.history
            self.figures.history += chat.history
            self.figures.cached += cached
        output = self._workload.output_tokens(chat)
        missing = chat.history + chat.prompt - cached
        engine.running += 1
        self.running[router][name] += 1
        chat.upstream = name
        finish = partial(
            self._finish, chat, router, request, placed, cached, output
        )
        self.at(self.now + answer_seconds(missing, output), finish)

    def _finish(
        self,
        chat: Chat,
        router: str,
        request: PlacementRequest,
        placed: Placement,
        cached: int,
        output: int,
    ) -> None:
        name = placed.upstream.name
        engine = self._engines[name]
        engine.running -= 1
        self.running[router][name] -= 1
        chat.history += chat.prompt + output
        chat.prompt = self._workload.next_prompt(chat)
        for evicted in engine.store(chat.key, chat.history):
            if self._events:
                self._route.evicted(evicted, name)
        release = partial(self._route.release, router, request, placed, cached)
        self.at(self.now + self._route.delay, release)
        pause = self._workload.pause(chat)
        if pause is not None:
            self.at(self.now + pause, partial(self._arrive, chat))

    def _watch(self, duration: float) -> None:
        """Note the load that held until now."""
        if self.now < self._warm_up:
            return
        loads = {
            name: self._engines[name].running
            for name, state in self._world.states.items()
            if state is UpstreamState.LIVE
        }
        total = sum(loads.values())
        if not total:
            return
        top = max(loads, key=loads.__getitem__)
        ratio = loads[top] * len(loads) / total
        self.figures.skew.append((ratio, duration))
        service = self._world.configuration.fleet.services[0]
        bound = capacity(service.load_bound, total, len(loads))
        excess = loads[top] - bound
        if excess > 0:
            self.figures.excess = max(self.figures.excess, excess)
            if self._above_since is None:
                self._above_since = self.now
                self.figures.causes[self._cause_of(top, loads)] += 1
        elif self._above_since is not None:
            self.figures.above.append(self.now - self._above_since)
            self._above_since = None
        self._before = loads

    def _cause_of(self, top: str, loads: dict[str, int]) -> Cause:
        """Return what changed since the last look."""
        if loads.keys() != self._before.keys():
            return Cause.MEMBERS
        if loads[top] > self._before[top]:
            return Cause.PLACED
        return Cause.FINISHED
