"""
bergamotshed.dispatch.plain
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes calls to plain services and runs them, those that are at-most-once no
more than once.
"""

__all__ = ('PlainDispatcher',)

import asyncio
from dataclasses import replace

from ..clock import Clock
from ..control.types import Claims, ConfigurationInForce, SettledAnswer
from ..fleet import Service
from ..reasons import Refusal
from ..routing.retry import RetryBudget
from ..routing.types import Placer
from ..services.types import ServiceClient
from . import failures
from .claiming import claim_within
from .plain_run import PlainCallDependencies, PlainRun
from .target import plain_target
from .task_set import TaskSet
from .types import Failure, PlainAnswer, PlainCall


class PlainDispatcher:
    """Runs plain calls until :meth:`drain`."""

    def __init__(
        self,
        configuration: ConfigurationInForce,
        placer: Placer,
        services: ServiceClient,
        claims: Claims,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._claims = claims
        self._background_tasks = TaskSet()
        self._using = PlainCallDependencies(placer, services, budget, clock)

    async def run(self, call: PlainCall) -> PlainAnswer | Failure:
        """Run one call."""
        service = plain_target(self._configuration, call)
        if isinstance(service, Refusal):
            return failures.not_run(service)
        if call.call in service.at_most_once:
            options = replace(call.options, at_most_once=True)
            call = replace(call, options=options)
        if not call.options.at_most_once:
            return await PlainRun(call, service, self._using).answer()
        # A marked call goes on if its caller leaves, so that it is settled.
        return await asyncio.shield(
            self._background_tasks.start(self._once(call, service))
        )

    async def drain(self) -> None:
        """Wait for what goes on after its caller left."""
        await self._background_tasks.wait()

    async def _once(
        self, call: PlainCall, service: Service
    ) -> PlainAnswer | Failure:
        options = call.options
        run = PlainRun(call, service, self._using)
        if not options.key:
            return await run.answer()
        claim = await claim_within(run.deadline, self._claims, options)
        if isinstance(claim, Refusal):
            return failures.not_run(claim)
        if isinstance(claim, SettledAnswer):
            return PlainAnswer(claim.status, claim.body, claim.content_type)
        answer = await run.answer()
        if isinstance(answer, PlainAnswer):
            kept = SettledAnswer(
                answer.status, answer.body, answer.content_type
            )
            self._background_tasks.start(self._claims.settle(claim, kept))
        elif not run.may_have_run:
            await self._claims.void(claim)
        return answer
