"""
bergamotshed.dispatch.claiming
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims the idempotency key of an at-most-once request, within its deadline.
"""

__all__ = ('claim_within',)

from ..control.types import Claim, Claims, SettledAnswer
from ..reasons import Reason, Refusal
from .deadline import Deadline
from .types import CallOptions


async def claim_within(
    deadline: Deadline, claims: Claims, options: CallOptions
) -> Claim | SettledAnswer | Refusal:
    """Claim the key; returns a refusal if the deadline passes first.

    Nothing has been sent to an upstream at that point, so the request
    certainly did not run.
    """
    try:
        return await deadline.wait(
            claims.claim(options.organisation, options.idempotency_key)
        )
    except TimeoutError:
        return Refusal(
            Reason.DEADLINE, detail='the key was not claimed in time'
        )
