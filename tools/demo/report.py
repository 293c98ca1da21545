"""
tools.demo.report
~~~~~~~~~~~~~~~~~

The results of a run, and the promises that it broke.
"""

__all__ = ('DemoResult', 'broken_promises', 'format_table')

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import quantiles

from tests.caller import Reply
from tests.timeline import LoadTimeline

from .workload import Booking

PERCENTILES = 100
MS_PER_S = 1000


@dataclass(slots=True)
class DemoResult:
    """Everything that the run measured.

    :ivar runs_by_key: runs of each booking at the plain services
    """

    replies: list[Reply] = field(default_factory=list)
    bookings: list[Booking] = field(default_factory=list)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    cached_tokens: int = 0
    prompt_tokens: int = 0
    timelines: dict[str, LoadTimeline] = field(default_factory=dict)
    control_bytes_per_s: list[float] = field(default_factory=list)
    control_bytes_by_peer: Counter[str] = field(default_factory=Counter)

    @property
    def complete_answers(self) -> int:
        """Return the number of complete answers."""
        return sum(reply.is_complete for reply in self.replies)

    @property
    def duplicates(self) -> int:
        """Return the number of keys that ran more than once."""
        return sum(count > 1 for count in self.runs_by_key.values())


def broken_promises(result: DemoResult) -> list[str]:
    """Return a line for each broken promise."""
    broken = []
    if not all(reply.is_correct_so_far for reply in result.replies):
        broken.append('an answer was incomplete or did not match its request')
    if result.complete_answers < len(result.replies):
        broken.append('a chat was not answered although nothing failed')
    if result.duplicates:
        broken.append('an at-most-once call ran twice')
    for booking in result.bookings:
        was_refused = (
            booking.first.type == booking.second.type == ('refused, not run')
        )
        if was_refused and result.runs_by_key[booking.key]:
            broken.append(f'{booking.key} was refused as not run, but ran')
    return broken


def format_table(result: DemoResult, seconds: float) -> str:
    """Return the printed table."""
    latency = _percentiles([reply.seconds for reply in result.replies])
    rows = (
        ('chats answered', f'{len(result.replies)} in {seconds:.1f} s'),
        ('complete answers', f'{result.complete_answers}'),
        ('complete answer p50 / p99', f'{latency[0]:.3f} / {latency[1]:.3f} s'),
        ('history tokens from cache', _cache_share(result)),
        *_load_rows(result.timelines),
        ('bookings sent twice', f'{len(result.bookings)}'),
        ('bookings run', f'{sum(result.runs_by_key.values())}'),
        ('bookings run twice', f'{result.duplicates}'),
        (
            'control bytes/s per router',
            _format_rates(result.control_bytes_per_s),
        ),
        ('control bytes by peer', _peer_shares(result.control_bytes_by_peer)),
    )
    return '\n'.join(f'{name:32}{cell}' for name, cell in rows)


def _load_rows(
    timelines: dict[str, LoadTimeline],
) -> Iterator[tuple[str, str]]:
    for service, timeline in timelines.items():
        cell = _format_pair(timeline.max_over_mean())
        yield f'{service}: max/mean p50 / p99', cell
        for cause in ('start', 'end'):
            durations_s = [
                breach.seconds
                for breach in timeline.breaches
                if breach.cause == cause
            ]
            cell = f'{len(durations_s)}, {sum(durations_s) * MS_PER_S:.0f} ms'
            yield f'{service}: above bound by {cause}', cell


def _cache_share(result: DemoResult) -> str:
    share = result.cached_tokens / max(result.prompt_tokens, 1)
    return f'{share:.1%} of {result.prompt_tokens} prompt tokens'


def _percentiles(values: list[float]) -> tuple[float, float]:
    if len(values) < 2:
        return 0, 0
    cuts = quantiles(values, n=PERCENTILES, method='inclusive')
    return cuts[PERCENTILES // 2 - 1], cuts[-1]


def _format_pair(percentiles: tuple[float, float]) -> str:
    return f'{percentiles[0]:.2f} / {percentiles[1]:.2f}'


def _peer_shares(counts: Counter[str]) -> str:
    total = max(counts.total(), 1)
    shares = (f'{peer} {n / total:.0%}' for peer, n in counts.most_common())
    return ', '.join(shares)


def _format_rates(rates: list[float]) -> str:
    return ', '.join(f'{rate:.0f}' for rate in rates) or 'not measured'
