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
    """Grants fetch tickets from a token bucket.

    :param fetches_per_s: rate of the token bucket
    :param burst: capacity of the token bucket
    """

    def __init__(self, fetches_per_s: float = 5, burst: int = 2) -> None:
        super().__init__()
        self._fetches_per_s = fetches_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refill_time = time.monotonic()
        self._runs: list[dict[str, Any]] = []
        self._refusals = 0

    def routes(self) -> list[web.RouteDef]:
        return [web.post('/v1/fetches', self._fetch)]

    def run_record(self) -> dict[str, Any]:
        return {'runs': self._runs, 'refused': self._refusals}

    async def _fetch(self, request: web.Request) -> web.Response:
        content = await json_body(request)
        now = time.monotonic()
        new_tokens = (now - self._refill_time) * self._fetches_per_s
        self._tokens = min(self._burst, self._tokens + new_tokens)
        self._refill_time = now
        if self._tokens < 1:
            self._refusals += 1
            return refusal(429, (1 - self._tokens) / self._fetches_per_s)
        self._tokens -= 1
        ticket = f'ticket-{len(self._runs)}'
        self._runs.append({**content, 'ticket': ticket, 'time': time.time()})
        return web.json_response({'ticket': ticket})


def main() -> None:
    """Run the stand-in as a process."""
    parser = create_parser()
    parser.add_argument('--rate', type=float, default=5)
    parser.add_argument('--burst', type=int, default=2)
    arguments = parser.parse_args()
    serve(WeightsStandIn(arguments.rate, arguments.burst), arguments.address)


if __name__ == '__main__':
    main()
