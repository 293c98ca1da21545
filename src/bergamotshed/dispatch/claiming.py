"""
bergamotshed.dispatch.claiming
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims the key of a request that may run only once, within its deadline.
"""

__all__ = ('claim_within',)

from ..control.types import Claim, Claims, SettledAnswer
from ..reasons import Reason, Refusal
from .deadline import Deadline
from .types import CallOptions


async def claim_within(
    deadline: Deadline, claims: Claims, options: CallOptions
) -> Claim | SettledAnswer | Refusal:
    """Claim the key; a claim that comes too late is a refusal.

    Nothing was sent to an upstream by then, so nothing ran.
    """
    try:
        return await deadline.wait(
            claims.claim(options.organisation, options.key)
        )
    except TimeoutError:
        return Refusal(
            Reason.DEADLINE, detail='the key was not claimed in time'
        )
