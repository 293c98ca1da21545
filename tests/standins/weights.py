"""
tests.standins.weights
~~~~~~~~~~~~~~~~~~~~~~

The platform's rate-limited weight store.
"""

__all__ = ('WeightsStandIn',)

import time
from typing import Any

from aiohttp import web

from .base import StandIn, create_parser, json_body, refusal, serve


class WeightsStandIn(StandIn):
    """Gives tickets within a rate.

    :param rate: fetches a second
    :param burst: fetches that may come at once
    """

    def __init__(self, rate: float = 5, burst: int = 2) -> None:
        super().__init__()
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._filled = time.monotonic()
        self._runs: list[dict[str, Any]] = []
        self._refused = 0

    def routes(self) -> list[web.RouteDef]:
        return [web.post('/v1/fetches', self._fetch)]

    def run_record(self) -> dict[str, Any]:
        return {'runs': self._runs, 'refused': self._refused}

    async def _fetch(self, request: web.Request) -> web.Response:
        content = await json_body(request)
        now = time.monotonic()
        gained = (now - self._filled) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled = now
        if self._tokens < 1:
            self._refused += 1
            return refusal(429, (1 - self._tokens) / self._rate)
        self._tokens -= 1
        ticket = f'ticket-{len(self._runs)}'
        self._runs.append({**content, 'ticket': ticket, 'time': time.time()})
        return web.json_response({'ticket': ticket})


def main() -> None:
    """Run the stand-in as a process."""
    options = create_parser()
    options.add_argument('--rate', type=float, default=5)
    options.add_argument('--burst', type=int, default=2)
    chosen = options.parse_args()
    serve(WeightsStandIn(chosen.rate, chosen.burst), chosen.address)


if __name__ == '__main__':
    main()
