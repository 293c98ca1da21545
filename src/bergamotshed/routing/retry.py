"""
bergamotshed.routing.retry
~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request may be retried: the retry budget, and the next step
after each outcome of an attempt.
"""

__all__ = ('LAST_ATTEMPT_REASONS', 'NextStep', 'RetryBudget', 'next_step')

from enum import Enum

from ..reasons import Reason
from .types import Outcome

RETRIES_PER_FIRST_ATTEMPT = 0.1
#: For each service.
MAX_BALANCE_RETRIES = 10.0
MAX_DEBT_RETRIES = 64.0

#: Why a request failed whose last allowed attempt ended in this way.
LAST_ATTEMPT_REASONS = {
    Outcome.REFUSED: Reason.ENGINE_REFUSED,
    Outcome.UNREACHABLE: Reason.ENGINE_UNREACHED,
    Outcome.CUT: Reason.ENGINE_CUT,
}


class NextStep(Enum):
    """What to do after an attempt."""

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
    """Return what to do after an attempt.

    :param at_most_once: the request must not be sent again once any byte of
        it may have reached an upstream
    """
    return _NEXT_STEPS[outcome, at_most_once]


class RetryBudget:
    """Limits retries to a tenth of first attempts, for each service.

    Each first attempt earns a fraction of a retry; a retry spends a whole
    one. A service starts with a full balance, so that one with little traffic
    can retry too.
    """

    def __init__(
        self,
        ratio: float = RETRIES_PER_FIRST_ATTEMPT,
        max_balance: float = MAX_BALANCE_RETRIES,
        max_debt: float = MAX_DEBT_RETRIES,
    ) -> None:
        self._ratio = ratio
        self._max_balance = max_balance
        self._max_debt = max_debt
        self._balances: dict[str, float] = {}

    def earn(self, service: str) -> None:
        """Count a first attempt."""
        balance = self.balance(service) + self._ratio
        self._balances[service] = min(balance, self._max_balance)

    def spend(self, service: str, *, can_overdraw: bool = False) -> bool:
        """Take one retry; return whether the budget allows it.

        :param can_overdraw: the work was lost with its upstream, so that the
            retry replaces load instead of adding to it; the balance may
            then become a bounded debt, which first attempts must repay
            before the next retry without overdraw
        """
        balance = self.balance(service)
        min_balance = 1 - self._max_debt if can_overdraw else 1
        if balance < min_balance:
            return False
        self._balances[service] = balance - 1
        return True

    def balance(self, service: str) -> float:
        """Return how many retries are left."""
        return self._balances.get(service, self._max_balance)
