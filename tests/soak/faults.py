"""
tests.soak.faults
~~~~~~~~~~~~~~~~~

The faults. Each is injected from outside the processes and ended again.
"""

__all__ = ('Fault', 'draw_faults')

import asyncio
import random
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from .engines import VERSIONS
from .fleet import Fleet

FAULTS_PER_SECOND = 0.8
MAX_DURATION_S = 3.0
MAX_COPY_AGE_S = 0.8
MAX_REWRITE_S = 1.0


class Fault(ABC):
    """One fault; subclasses override :meth:`inject`.

    :cvar disturbs_routers: it affects routers or their connections to the
        store, so that time limits are not checked until they have recovered
    :ivar start_s: seconds from the start of the load
    :ivar duration_s: how long it lasts, in seconds
    """

    disturbs_routers: ClassVar[bool] = True

    def __init__(self, rng: random.Random, load_s: float) -> None:
        self.start_s = rng.uniform(0, load_s)
        self.duration_s = rng.uniform(0.3, MAX_DURATION_S)
        self.rng = rng

    @property
    def name(self) -> str:
        """Return its type and times, for reports."""
        return (
            f'{type(self).__name__} at {self.start_s:.1f} '
            f'for {self.duration_s:.1f}'
        )

    @abstractmethod
    async def inject(self, fleet: Fleet) -> None:
        """Start the fault, wait, and end it."""


class KillRouter(Fault):
    async def inject(self, fleet: Fleet) -> None:
        self.rng.choice(fleet.routers).send_signal(signal.SIGKILL)


class KillAllRouters(Fault):
    async def inject(self, fleet: Fleet) -> None:
        for router in fleet.routers:
            router.send_signal(signal.SIGKILL)


class PauseRouter(Fault):
    async def inject(self, fleet: Fleet) -> None:
        router = self.rng.choice(fleet.routers)
        router.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.duration_s)
        router.send_signal(signal.SIGCONT)


class StopRouter(Fault):
    async def inject(self, fleet: Fleet) -> None:
        await self.rng.choice(fleet.routers).stop()


class ReloadSettings(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        for router in fleet.routers:
            router.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)


class StoreRefuses(Fault):
    async def inject(self, fleet: Fleet) -> None:
        fleet.store.error_status = self.rng.choice((429, 503))
        await asyncio.sleep(self.duration_s)
        fleet.store.error_status = 0


class StoreLosesAnswers(Fault):
    async def inject(self, fleet: Fleet) -> None:
        fleet.store.drop_waiting_answers()


class StoreDropsHistory(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        for topic in tuple(fleet.store.records):
            fleet.store.drop_history(topic)


class StoreReturnsFromCopy(Fault):
    """The store comes back older; all but the routers write again.

    Soon enough that a revocation which no router knows any more stands again
    within its bound.
    """

    async def inject(self, fleet: Fleet) -> None:
        copy = fleet.store.copy()
        await asyncio.sleep(self.rng.uniform(0, MAX_COPY_AGE_S))
        fleet.store.return_from(copy)
        await asyncio.sleep(self.rng.uniform(0, MAX_REWRITE_S))
        fleet.write_again()


class RefusedStoreLink(Fault):
    async def inject(self, fleet: Fleet) -> None:
        proxy = self.rng.choice(fleet.routers).store_proxy
        proxy.is_refusing = True
        proxy.reset_all()
        await asyncio.sleep(self.duration_s)
        proxy.is_refusing = False


class SilentStoreLink(Fault):
    async def inject(self, fleet: Fleet) -> None:
        proxy = self.rng.choice(fleet.routers).store_proxy
        proxy.silent_directions = frozenset(
            self.rng.choice((('to',), ('from',), ('to', 'from')))
        )
        await asyncio.sleep(self.duration_s)
        proxy.silent_directions = frozenset()


class SlowEngineLink(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        proxy = self.rng.choice(fleet.engines).proxy
        proxy.delay_s = 0.2
        await asyncio.sleep(self.duration_s)
        proxy.delay_s = 0


class SilentEngineLink(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        proxy = self.rng.choice(fleet.engines).proxy
        proxy.silent_directions = frozenset((self.rng.choice(('to', 'from')),))
        await asyncio.sleep(self.duration_s)
        proxy.silent_directions = frozenset()


class ResetEngineLink(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        self.rng.choice(fleet.engines).proxy.reset_all()


class FailingEngine(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        engine = self.rng.choice(fleet.engines)
        engine.mode = self.rng.choice(
            (
                'mute',
                'reset',
                'fail',
                'full',
                'extra',
                'cut',
                'repeat',
                'torn',
                'unsaid',
            )
        )
        await asyncio.sleep(self.duration_s)
        engine.mode = 'fine'


class EngineLeaves(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        engine = self.rng.choice(fleet.engines)
        engine.sequence += 1
        fleet.register(engine, 'draining')
        engine.drained_at = time.monotonic()
        await asyncio.sleep(MAX_DURATION_S)
        engine.drained_at = None
        engine.born += 1
        engine.sequence = 1
        engine.version = self.rng.choice(VERSIONS)
        fleet.register(engine, 'ready')


class RevokeKeys(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        for _ in range(self.rng.randint(1, 3)):
            fleet.revoke()
            await asyncio.sleep(self.rng.uniform(0, 0.3))


class PublishConfigurations(Fault):
    disturbs_routers = False

    async def inject(self, fleet: Fleet) -> None:
        for _ in range(self.rng.randint(1, 10)):
            fleet.publish(self.rng.choice((2000, 2500, 3000)))
            await asyncio.sleep(0.05)


def draw_faults(
    rng: random.Random, load_s: float, also: Sequence[str] = ()
) -> list[Fault]:
    """Draw faults in order of time; some overlap or start together.

    :param load_s: duration of the load in seconds
    :param also: names of fault types of which one more each is drawn
    """
    fault_types = Fault.__subclasses__()
    by_name = {fault_type.__name__: fault_type for fault_type in fault_types}
    count = max(3, round(FAULTS_PER_SECOND * load_s))
    faults = [rng.choice(fault_types)(rng, load_s) for _ in range(count)]
    faults += [by_name[name](rng, load_s) for name in also]
    for fault in rng.sample(faults, len(faults) // 3):
        fault.start_s = rng.choice(faults).start_s
    return sorted(faults, key=lambda fault: fault.start_s)
