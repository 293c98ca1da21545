"""
tests.soak.faults
~~~~~~~~~~~~~~~~~

The faults, each injected from outside the processes and ended again.
"""

__all__ = ('Fault', 'draw_faults')

import asyncio
import random
import signal
import time
from abc import ABC, abstractmethod
from typing import ClassVar

from .fleet import Fleet

FAULTS_A_SECOND = 0.8
LONGEST_S = 3.0


class Fault(ABC):
    """One fault; subclasses override :meth:`inject`.

    :cvar touches_fleet: routers or their way to the store are disturbed, so
        that they are excused from bounds in time for a while
    """

    touches_fleet: ClassVar[bool] = True

    def __init__(self, rng: random.Random, duration: float) -> None:
        self.at = rng.uniform(0, duration)
        self.lasts = rng.uniform(0.3, LONGEST_S)
        self.rng = rng

    @property
    def name(self) -> str:
        """Return what it is, for reports."""
        return f'{type(self).__name__} at {self.at:.1f} for {self.lasts:.1f}'

    @abstractmethod
    async def inject(self, fleet: Fleet) -> None:
        """Begin, wait and end the fault."""


class Kill(Fault):
    async def inject(self, fleet: Fleet) -> None:
        self.rng.choice(fleet.routers).send(signal.SIGKILL)


class KillAll(Fault):
    async def inject(self, fleet: Fleet) -> None:
        for router in fleet.routers:
            router.send(signal.SIGKILL)


class Pause(Fault):
    async def inject(self, fleet: Fleet) -> None:
        router = self.rng.choice(fleet.routers)
        router.send(signal.SIGSTOP)
        await asyncio.sleep(self.lasts)
        router.send(signal.SIGCONT)


class Terminate(Fault):
    async def inject(self, fleet: Fleet) -> None:
        await self.rng.choice(fleet.routers).stop()


class Reload(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        for router in fleet.routers:
            router.send(signal.SIGHUP)
            await asyncio.sleep(0.05)


class StoreRefuses(Fault):
    async def inject(self, fleet: Fleet) -> None:
        fleet.store.error_status = self.rng.choice((429, 503))
        await asyncio.sleep(self.lasts)
        fleet.store.error_status = 0


class StoreLosesAnswers(Fault):
    async def inject(self, fleet: Fleet) -> None:
        fleet.store.drop_waiting_answers()


class StoreForgets(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        for topic in tuple(fleet.store.records):
            fleet.store.drop_history(topic)


class CutFromStore(Fault):
    async def inject(self, fleet: Fleet) -> None:
        link = self.rng.choice(fleet.routers).store
        link.refusing = True
        link.reset_all()
        await asyncio.sleep(self.lasts)
        link.refusing = False


class SilentToStore(Fault):
    async def inject(self, fleet: Fleet) -> None:
        link = self.rng.choice(fleet.routers).store
        link.silent = frozenset(
            self.rng.choice((('to',), ('from',), ('to', 'from')))
        )
        await asyncio.sleep(self.lasts)
        link.silent = frozenset()


class SlowEngineLink(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        proxy = self.rng.choice(fleet.engines).proxy
        proxy.delay = 0.2
        await asyncio.sleep(self.lasts)
        proxy.delay = 0


class SilentEngineLink(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        proxy = self.rng.choice(fleet.engines).proxy
        proxy.silent = frozenset((self.rng.choice(('to', 'from')),))
        await asyncio.sleep(self.lasts)
        proxy.silent = frozenset()


class ResetEngineLink(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        self.rng.choice(fleet.engines).proxy.reset_all()


class BadEngine(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        engine = self.rng.choice(fleet.engines)
        engine.mode = self.rng.choice(
            ('mute', 'reset', 'fail', 'full', 'extra')
        )
        await asyncio.sleep(self.lasts)
        engine.mode = 'fine'


class EngineLeaves(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        engine = self.rng.choice(fleet.engines)
        engine.sequence += 1
        fleet.register(engine, 'draining')
        engine.drained_at = time.monotonic()
        await asyncio.sleep(LONGEST_S)
        engine.drained_at = None
        engine.born += 1
        engine.sequence = 1
        fleet.register(engine, 'ready')


class Revoke(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        for _ in range(self.rng.randint(1, 3)):
            fleet.revoke()
            await asyncio.sleep(self.rng.uniform(0, 0.3))


class Publish(Fault):
    touches_fleet = False

    async def inject(self, fleet: Fleet) -> None:
        for _ in range(self.rng.randint(1, 10)):
            fleet.publish(self.rng.choice((2000, 2500, 3000)))
            await asyncio.sleep(0.05)


def draw_faults(rng: random.Random, duration: float) -> list[Fault]:
    """Draw a series of faults; some overlap, some hit the same moment."""
    families = Fault.__subclasses__()
    count = max(3, round(FAULTS_A_SECOND * duration))
    drawn = [rng.choice(families)(rng, duration) for _ in range(count)]
    for fault in rng.sample(drawn, count // 3):
        fault.at = rng.choice(drawn).at
    return sorted(drawn, key=lambda fault: fault.at)
