"""
bergamotshed.forwarding.upstream_selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the upstream of an attempt: by which upstreams have the prompt cached,
or by free slots where slots are scarce.
"""

__all__ = ('UpstreamSelector',)

import asyncio
import math
import random
from collections.abc import Collection
from dataclasses import replace
from datetime import timedelta

from ..reasons import Reason, Refusal
from ..routing.affinity import (
    ALL_BUSY_RETRY_AFTER,
    PlacedUpstream,
    load_bound,
)
from ..routing.types import Outcome, Placement
from .attempts import RequestAttempts
from .dependencies import ForwardingDependencies
from .outcome import AttemptOutcome, AttemptResult

#: Retry-After of a quarantined request.
QUARANTINE_RETRY_AFTER = timedelta(seconds=30)

#: Shortest Retry-After of a request that no upstream takes at its rate.
MIN_RATE_RETRY_AFTER = timedelta(milliseconds=100)
#: Its largest multiple, so that the callers don't return at the same moment.
RETRY_AFTER_SPREAD = 1.5
#: Upstreams that are asked in turn whether their limits allow a request.
MAX_PLACEMENTS = 12
#: Upstreams above the load bound after which a request is sent to the next one
#: whatever its load.
MAX_CROWDED = 6
NO_WAIT = timedelta(0)

#: Outcomes of slots; others count as cancelled.
_SLOT_OUTCOMES = {
    AttemptOutcome.ANSWERED: Outcome.DONE,
    AttemptOutcome.FAILED: Outcome.DONE,
    AttemptOutcome.NOT_RUN: Outcome.REFUSED,
}


class UpstreamSelector:
    """Chooses an upstream for each attempt of a request."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self._dependencies = dependencies

    async def choose(
        self, attempts: RequestAttempts
    ) -> PlacedUpstream | Refusal:
        """Choose an upstream; call :meth:`release` after the attempt."""
        if not attempts.watch.admits():
            return Refusal(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER)
        crowded: set[str] = set()
        for _ in range(MAX_PLACEMENTS):
            placed = await self._choose_unblocked(attempts)
            if isinstance(placed, Refusal):
                return await self._wait_for_rate(attempts) or placed
            granted = await self._ask_home(placed, attempts, crowded)
            if granted is None:
                crowded.add(placed.instance.name)
            elif await self._is_permitted(granted):
                return granted
            else:
                self.release(granted, None)
        return Refusal(Reason.OVERLOADED, ALL_BUSY_RETRY_AFTER)

    async def _is_permitted(self, placed: PlacedUpstream) -> bool:
        """Return whether the upstream's limit allows a request now."""
        try:
            return await self._dependencies.rates.acquire(
                placed.instance, NO_WAIT
            )
        except asyncio.CancelledError:
            self.release(placed, None)
            raise

    async def _ask_home(
        self,
        placed: PlacedUpstream,
        attempts: RequestAttempts,
        crowded: Collection[str],
    ) -> PlacedUpstream | None:
        """Ask the upstream's home for a grant, where it has one.

        :param crowded: names of the upstreams that were not, for this request;
            if one of them is chosen again, no other can take it
        :return: ``None`` if another upstream should be chosen, as this one is
            above the load bound
        """
        if placed.slot is not None or placed.mean_load is None:
            return placed
        is_last = placed.instance.name in crowded or len(crowded) >= MAX_CROWDED
        grant = await self._dependencies.load_bounds.acquire(
            placed.instance,
            math.inf if is_last else load_bound(placed.mean_load),
            attempts.time_remaining,
        )
        if grant is None:
            return placed
        self._dependencies.loads.record_grant(placed.instance, grant)
        return replace(placed, grant=grant) if grant.is_granted else None

    async def _choose_unblocked(
        self, attempts: RequestAttempts
    ) -> PlacedUpstream | Refusal:
        query = attempts.query
        slots = self._dependencies.slots
        if slots.tolerance_of(query.service) is not None:
            return await self._reserve_brittle(attempts)
        if query.shared_parts:
            return await self._place_at_reader(attempts)
        if slots.is_scarce(query.service):
            reserved = await self._reserve_slot(attempts, None)
            if reserved is not None:
                return reserved
        return self._place(attempts)

    async def _reserve_brittle(
        self, attempts: RequestAttempts
    ) -> PlacedUpstream | Refusal:
        """Reserve a slot of an upstream that must not reject many requests.

        Nothing is sent without a slot.
        """
        preferred: PlacedUpstream | None = None
        if attempts.query.shared_parts:
            placed = await self._place_at_reader(attempts)
            if isinstance(placed, Refusal):
                return placed
            preferred = placed
        reserved = await self._reserve_slot(attempts, preferred)
        if reserved is not None:
            return reserved
        return Refusal(
            Reason.OVERLOADED,
            ALL_BUSY_RETRY_AFTER,
            'no slot of a brittle upstream was granted',
        )

    def release(
        self, placed: PlacedUpstream, result: AttemptResult | Refusal | None
    ) -> None:
        """Release what the homes granted for an attempt.

        :param result: how the attempt ended; a refusal if it was not made,
            ``None`` if it was cancelled
        """
        if placed.grant is not None:
            self._dependencies.load_bounds.release(placed.grant)
        if placed.slot is None:
            return
        outcome = Outcome.CANCELLED
        if isinstance(result, AttemptResult):
            outcome = _SLOT_OUTCOMES.get(result.outcome, outcome)
        self._dependencies.slots.release(placed.slot, outcome)

    async def _wait_for_rate(
        self, attempts: RequestAttempts
    ) -> PlacedUpstream | Refusal | None:
        """Wait until one of the upstreams at their limits takes the request.

        :return: a refusal if that takes too long, ``None`` if no upstream that
            was not tried is at its limit
        """
        dependencies = self._dependencies
        query = attempts.query
        blocked = {
            member.name: dependencies.rates.time_blocked(member)
            for member in dependencies.registry.members(query.service)
            if member.name in query.barred - query.tried
            and query.allows(member)
        }
        if not blocked:
            return None
        name = min(blocked, key=blocked.__getitem__)
        instance = dependencies.registry.instances.get(name)
        patience = attempts.patience_for_slot
        if instance is not None and blocked[name] <= patience:
            if await dependencies.rates.acquire(instance, patience):
                load = dependencies.loads.estimate_load(instance)
                return PlacedUpstream(instance, False, load)
            blocked[name] = dependencies.rates.time_blocked(instance)
        retry_after = max(blocked[name], MIN_RATE_RETRY_AFTER)
        return Refusal(
            Reason.OVERLOADED,
            retry_after * random.uniform(1, RETRY_AFTER_SPREAD),
            'all upstreams are at the rate that they take',
        )

    async def _place_at_reader(
        self, attempts: RequestAttempts
    ) -> PlacedUpstream | Refusal:
        placed = self._place(attempts)
        if isinstance(placed, PlacedUpstream) and placed.is_unread:
            await self._dependencies.prompts.fetch_readers(
                attempts.query.shared_parts[-1]
            )
            return self._place(attempts)
        return placed

    async def _reserve_slot(
        self, attempts: RequestAttempts, preferred: PlacedUpstream | None
    ) -> PlacedUpstream | Refusal | None:
        """Reserve a slot at the service's home.

        :param preferred: the upstream to take if it has room; ``None`` for any
        :return: ``None`` if an upstream must be chosen without a slot
        """
        unusable = self._find_unusable(attempts)
        if unusable is None:
            return None
        slots = self._dependencies.slots
        placed = await slots.reserve(
            attempts.slot_request(
                unusable, preferred.instance.name if preferred else ''
            )
        )
        if not isinstance(placed, Placement):
            return placed
        instance = self._dependencies.registry.instances.get(
            placed.upstream.name
        )
        if instance is None or instance.leaving:
            slots.release(placed, Outcome.CANCELLED)
            return None
        load = self._dependencies.loads.estimate_load(instance)
        if preferred is None:
            return PlacedUpstream(instance, True, load, slot=placed)
        if instance.name == preferred.instance.name:
            return replace(preferred, slot=placed)
        return self._dependencies.placer.with_source(
            attempts.query, PlacedUpstream(instance, False, load, slot=placed)
        )

    def _find_unusable(
        self, attempts: RequestAttempts
    ) -> frozenset[str] | None:
        """Return the upstreams to avoid; ``None`` if no other is left.

        These are the upstreams that were tried, those at their limits, those
        that can't run it and the ejected ones; the last only if there are
        others.
        """
        query = attempts.query
        members = self._dependencies.registry.members(query.service)
        names = {member.name for member in members}
        failing = {
            member.name
            for member in members
            if self._dependencies.loads.is_ejected(member)
        }
        unfit = {member.name for member in members if not query.allows(member)}
        leaving = set(self._dependencies.registry.names(query.service)) - names
        closed = query.tried | query.barred | unfit | leaving
        for unusable in (closed | failing, closed):
            if names - unusable:
                return frozenset(unusable)
        return None

    def _place(self, attempts: RequestAttempts) -> PlacedUpstream | Refusal:
        """Choose by local data, without a reservation.

        An upstream that answered with a failure is tried again if there is
        no other.
        """
        placed = self._dependencies.placer.place(attempts.query)
        if isinstance(placed, Refusal) and attempts.failure is not None:
            query = replace(attempts.query, tried=frozenset())
            return self._dependencies.placer.place(query)
        return placed
