"""
bergamotshed.routing.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The newest placement decisions, so that one can be explained afterwards.
"""

__all__ = ('Decision', 'DecisionLog')

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime

MAX_DECISIONS = 512


@dataclass(frozen=True, slots=True)
class Decision:
    """A placement decision and the loads that it was based on.

    :ivar upstream: the chosen upstream; empty if refused
    :ivar reason: why it was chosen, or why the request was refused
    :ivar counts: requests in flight on each candidate before the decision
    :ivar bound: maximum number of requests in flight on one upstream
    :ivar waited: seconds in the queue
    """

    request: str
    organisation: str
    time: datetime
    upstream: str
    reason: str
    counts: Mapping[str, int]
    bound: int
    waited: float


class DecisionLog:
    """Keeps the newest decisions."""

    def __init__(self) -> None:
        self._decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)

    def add(self, decision: Decision) -> None:
        """Keep a decision, dropping the oldest one when full."""
        self._decisions.append(decision)

    def explain(self, request: str) -> tuple[Decision, ...]:
        """Return the decisions on one request, the oldest first."""
        return tuple(
            decision
            for decision in self._decisions
            if decision.request == request
        )
