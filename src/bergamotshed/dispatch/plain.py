"""
bergamotshed.dispatch.plain
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs calls to plain services; those marked at-most-once run no more than once.
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
from .target import find_plain_service
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
        self._dependencies = PlainCallDependencies(
            placer, services, budget, clock
        )

    async def run(self, call: PlainCall) -> PlainAnswer | Failure:
        """Run one call."""
        service = find_plain_service(self._configuration, call)
        if isinstance(service, Refusal):
            return failures.not_run_failure(service)
        if call.name in service.at_most_once:
            options = replace(call.options, at_most_once=True)
            call = replace(call, options=options)
        if not call.options.at_most_once:
            return await PlainRun(call, service, self._dependencies).answer()
        # An at-most-once call continues if its caller disconnects, so that its
        # claim is settled.
        return await asyncio.shield(
            self._background_tasks.start(self._run_once(call, service))
        )

    async def drain(self) -> None:
        """Wait until all background tasks have ended."""
        await self._background_tasks.wait()

    async def _run_once(
        self, call: PlainCall, service: Service
    ) -> PlainAnswer | Failure:
        options = call.options
        run = PlainRun(call, service, self._dependencies)
        if not options.idempotency_key:
            return await run.answer()
        claim = await claim_within(run.deadline, self._claims, options)
        if isinstance(claim, Refusal):
            return failures.not_run_failure(claim)
        if isinstance(claim, SettledAnswer):
            return PlainAnswer(claim.status, claim.body, claim.content_type)
        answer = await run.answer()
        if isinstance(answer, PlainAnswer):
            settled_answer = SettledAnswer(
                answer.status, answer.body, answer.content_type
            )
            self._background_tasks.start(
                self._claims.settle(claim, settled_answer)
            )
        elif not run.may_have_run:
            await self._claims.void(claim)
        return answer
