"""
bergamotshed.routing.retry
~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether a request may be tried again: the retry budget, and the table of what
follows each ending of an attempt.
"""

__all__ = ('NextStep', 'RetryBudget', 'next_step')

from enum import Enum

from .types import Outcome

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_BALANCE = 10.0
MAX_DEBT = 64.0


class NextStep(Enum):
    """What follows the end of an attempt."""

    ANSWER = 'answer'
    TRY_ANOTHER = 'try another upstream'
    GIVE_UP = 'give up'


_NEXT_STEPS = {
    # (outcome, at most once): step
    (Outcome.DONE, False): NextStep.ANSWER,
    (Outcome.DONE, True): NextStep.ANSWER,
    (Outcome.CANCELLED, False): NextStep.GIVE_UP,
    (Outcome.CANCELLED, True): NextStep.GIVE_UP,
    (Outcome.REFUSED, False): NextStep.TRY_ANOTHER,
    (Outcome.REFUSED, True): NextStep.TRY_ANOTHER,
    (Outcome.UNREACHABLE, False): NextStep.TRY_ANOTHER,
    (Outcome.UNREACHABLE, True): NextStep.TRY_ANOTHER,
    (Outcome.CUT, False): NextStep.TRY_ANOTHER,
    (Outcome.CUT, True): NextStep.GIVE_UP,
}


def next_step(outcome: Outcome, *, at_most_once: bool) -> NextStep:
    """Decide what follows an attempt.

    :param at_most_once: the request must not be sent again once any byte of
        it may have reached an upstream
    """
    return _NEXT_STEPS[outcome, at_most_once]


class RetryBudget:
    """Keeps retries to a tenth of first attempts, for each service.

    Each first attempt earns a part of a retry; a retry spends a whole one.
    A service starts with a small balance, so that a quiet one may retry too.
    """

    def __init__(
        self,
        ratio: float = RETRIES_PER_FIRST_ATTEMPT,
        max_balance: float = MAX_BALANCE,
        max_debt: float = MAX_DEBT,
    ) -> None:
        self._ratio = ratio
        self._burst = max_balance
        self._debt = max_debt
        self._balances: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Count a first attempt."""
        balance = self.balance(service) + self._ratio
        self._balances[service] = min(balance, self._burst)

    def spend(self, service: str, *, overdraw: bool = False) -> bool:
        """Take one retry; false when none is left.

        :param overdraw: the work was lost with its upstream, which carries
            it no longer; such retries may run into a bounded debt, which
            later ones have to wait for
        """
        balance = self.balance(service)
        least = 1 - self._debt if overdraw else 1
        if balance < least:
            return False
        self._balances[service] = balance - 1
        return True

    def balance(self, service: str) -> float:
        """Return how many retries are left."""
        return self._balances.get(service, self._burst)
