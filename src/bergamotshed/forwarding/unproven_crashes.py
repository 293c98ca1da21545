"""
bergamotshed.forwarding.unproven_crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Upstreams that can't be connected to after an answer broke off, while no other
can either: they may have crashed, or the way to them is lost. What shows which
is found out later.
"""

__all__ = ('CutAnswer', 'UnprovenCrashes')

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from eliot import log_message

from ..clock import Clock
from ..upstreams.liveness import MAX_EARLINESS
from ..upstreams.registry import UpstreamRegistry
from ..upstreams.types import Instance
from .control_probes import ControlProbes

CHECK_INTERVAL = timedelta(milliseconds=200)
#: How long a cut answer is kept; several times as long as upstreams take to
#: start again.
MAX_AGE = timedelta(seconds=20)
#: Cut answers that are kept.
MAX_PENDING = 4096
#: Reports of an upstream after an answer of it broke off that show that it
#: still runs; a single one may have been on its way.
REPORTS_OF_A_RUNNING_ONE = 2
#: Silence in the list after which an upstream that can't be connected to is
#: taken for crashed: two of its reports are missing by then.
MIN_SILENCE = timedelta(milliseconds=2500)


@dataclass(frozen=True, slots=True, eq=False)
class CutAnswer:
    """An answer that broke off.

    :ivar instance: the upstream, as it was listed then
    :ivar cut_at: in seconds since boot
    :ivar record_crash: records that the upstream crashed
    """

    instance: Instance
    cut_at: float
    record_crash: Callable[[], None]


class _Finding(Enum):
    """What the list of upstreams shows of one of them."""

    NOTHING = 'nothing'
    STARTED_ANEW = 'the upstream has started anew'
    RUNS = 'the upstream has reported since'
    LEAVES = 'the upstream leaves'


_REFUTING = frozenset((_Finding.RUNS, _Finding.LEAVES))


class UnprovenCrashes:
    """Finds out which cut answers were due to crashes.

    An upstream that starts anew had ended. So had one that has reported nothing
    to the store since and that can't be connected to although another one can
    be; the other is connected to first, as the way may come back in between.
    """

    def __init__(
        self, registry: UpstreamRegistry, probes: ControlProbes, clock: Clock
    ) -> None:
        self._registry = registry
        self._probes = probes
        self._clock = clock
        self._pending: list[CutAnswer] = []

    def add(self, cut: CutAnswer) -> None:
        """Look for what shows whether the upstream has crashed."""
        if len(self._pending) >= MAX_PENDING:
            self._dismiss(self._pending[0], 'too many others')
            self._pending = self._pending[1:]
        self._pending.append(cut)

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            if self._pending:
                await self.check()

    async def check(self) -> None:
        """Record the crashes that are shown by now, and drop what is not."""
        self._check_list()
        await self._check_reach()

    def _check_list(self) -> None:
        """Judge by what the upstreams reported."""
        starts: dict[str, int] = {}
        for listed in self._registry.instances.values():
            known = starts.get(listed.address, 0)
            starts[listed.address] = max(known, listed.born)
        oldest = self._clock.boottime() - MAX_AGE.total_seconds()
        pending = self._pending
        self._pending = []
        for cut in pending:
            finding = self._find(cut.instance, starts)
            if finding is _Finding.STARTED_ANEW:
                cut.record_crash()
            elif finding in _REFUTING:
                self._dismiss(cut, finding.value)
            elif cut.cut_at < oldest:
                self._dismiss(cut, 'nothing has shown a crash')
            else:
                self._pending.append(cut)

    def _find(self, upstream: Instance, starts: dict[str, int]) -> _Finding:
        """Return what the list shows.

        :param starts: the latest start of an upstream at each address
        """
        listed = self._registry.instances.get(upstream.name)
        if listed is not None and listed.leaving:
            return _Finding.LEAVES
        if listed is not None and listed.born > upstream.born:
            return _Finding.STARTED_ANEW
        if starts.get(upstream.address, 0) > upstream.born:
            return _Finding.STARTED_ANEW
        has_reported = (
            listed is not None
            and listed.sequence >= upstream.sequence + REPORTS_OF_A_RUNNING_ONE
        )
        return _Finding.RUNS if has_reported else _Finding.NOTHING

    async def _check_reach(self) -> None:
        """Judge by whether upstreams can be connected to."""
        silent = [cut for cut in self._pending if self._is_silent(cut)]
        if not silent:
            return
        control = await self._probes.find_reachable(self._clock.monotonic())
        if control is None:
            return
        reached_at = self._clock.monotonic() + MAX_EARLINESS.total_seconds()
        answers = await asyncio.gather(
            *(
                self._probes.is_alive(cut.instance.address, reached_at)
                for cut in silent
            )
        )
        crashed = {
            cut
            for cut, is_alive in zip(silent, answers, strict=True)
            if not is_alive
        }
        self._pending = [cut for cut in self._pending if cut not in crashed]
        for cut in crashed:
            cut.record_crash()

    def _is_silent(self, cut: CutAnswer) -> bool:
        """Return whether an upstream is still listed and has not reported
        since its answer broke off, by a list that is recent enough to tell.

        One that is not listed any more may have ended as planned.
        """
        listed = self._registry.instances.get(cut.instance.name)
        confirmed_at = self._registry.versions.confirmed_at
        return (
            listed is not None
            and listed.sequence == cut.instance.sequence
            and confirmed_at - cut.cut_at >= MIN_SILENCE.total_seconds()
        )

    def _dismiss(self, cut: CutAnswer, reason: str) -> None:
        log_message(
            'upstream.crash_dismissed',
            upstream=cut.instance.name,
            born=cut.instance.born,
            reason=reason,
        )
