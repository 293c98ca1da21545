"""
tools.demo.report
~~~~~~~~~~~~~~~~~

What the run showed, and whether a promise broke.
"""

__all__ = ('Tally', 'broken_promises', 'table')

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import quantiles

from tests.caller import Reply
from tests.timeline import LoadTimeline

from .load import Booking

PERCENTILES = 100
MILLISECONDS = 1000


@dataclass(slots=True)
class Tally:
    """Everything that was seen."""

    replies: list[Reply] = field(default_factory=list)
    bookings: list[Booking] = field(default_factory=list)
    booked: Counter[str] = field(default_factory=Counter)
    cached_tokens: int = 0
    prompt_tokens: int = 0
    timelines: dict[str, LoadTimeline] = field(default_factory=dict)
    control_bytes: list[float] = field(default_factory=list)
    control_by_peer: Counter[str] = field(default_factory=Counter)

    @property
    def whole(self) -> int:
        """Return how many answers were whole."""
        return sum(reply.is_complete for reply in self.replies)

    @property
    def duplicates(self) -> int:
        """Return how many keys ran more than once."""
        return sum(count > 1 for count in self.booked.values())


def broken_promises(tally: Tally) -> list[str]:
    """Return a line for each promise that the run saw broken."""
    broken = []
    if not all(reply.is_correct_so_far for reply in tally.replies):
        broken.append("an answer was not its own request's, or not whole")
    if tally.whole < len(tally.replies):
        broken.append('a chat was not answered although nothing failed')
    if tally.duplicates:
        broken.append('an at-most-once call ran twice')
    for booking in tally.bookings:
        refused = (
            booking.first.type == booking.second.type == ('refused, not run')
        )
        if refused and tally.booked[booking.key]:
            broken.append(f'{booking.key} was refused as not run, but ran')
    return broken


def table(tally: Tally, seconds: float) -> str:
    """Return the table that is printed."""
    latency = _percentiles([reply.seconds for reply in tally.replies])
    rows = (
        ('chats answered', f'{len(tally.replies)} in {seconds:.1f} s'),
        ('whole answers', f'{tally.whole}'),
        ('whole answer p50 / p99', f'{latency[0]:.3f} / {latency[1]:.3f} s'),
        ('history tokens from cache', _share(tally)),
        *_load_rows(tally.timelines),
        ('bookings sent twice', f'{len(tally.bookings)}'),
        ('bookings run', f'{sum(tally.booked.values())}'),
        ('bookings run twice', f'{tally.duplicates}'),
        ('control bytes/s a router', _list(tally.control_bytes)),
        ('control bytes by peer', _shares(tally.control_by_peer)),
    )
    return '\n'.join(f'{name:32}{shown}' for name, shown in rows)


def _load_rows(
    timelines: dict[str, LoadTimeline],
) -> Iterator[tuple[str, str]]:
    for service, timeline in timelines.items():
        pair = _pair(timeline.max_over_mean())
        yield f'{service}: max/mean p50 / p99', pair
        for cause in ('start', 'end'):
            lengths = [
                breach.seconds
                for breach in timeline.breaches
                if breach.cause == cause
            ]
            shown = f'{len(lengths)}, {sum(lengths) * MILLISECONDS:.0f} ms'
            yield f'{service}: above bound by {cause}', shown


def _share(tally: Tally) -> str:
    share = tally.cached_tokens / max(tally.prompt_tokens, 1)
    return f'{share:.1%} of {tally.prompt_tokens} prompt tokens'


def _percentiles(values: list[float]) -> tuple[float, float]:
    if len(values) < 2:
        return 0, 0
    cuts = quantiles(values, n=PERCENTILES, method='inclusive')
    return cuts[PERCENTILES // 2 - 1], cuts[-1]


def _pair(pair: tuple[float, float]) -> str:
    return f'{pair[0]:.2f} / {pair[1]:.2f}'


def _shares(counts: Counter[str]) -> str:
    total = max(counts.total(), 1)
    shares = (f'{peer} {n / total:.0%}' for peer, n in counts.most_common())
    return ', '.join(shares)


def _list(rates: list[float]) -> str:
    return ', '.join(f'{rate:.0f}' for rate in rates) or 'not measured'
