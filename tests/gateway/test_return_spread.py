from datetime import timedelta

import pytest

from bergamotshed.gateway.return_spread import READS, WRITES, ReturnSpread
from bergamotshed.gateway.settings import StoreSettings


@pytest.mark.parametrize('router_count', [1, 5, 33, 350])
@pytest.mark.parametrize(
    ('reads_per_s', 'writes_per_s'), [(2000, 400), (6000, 1200), (200, 1000)]
)
def test_the_calls_of_all_routers_stay_below_the_rates(
    router_count: int, reads_per_s: float, writes_per_s: float
) -> None:
    settings = StoreSettings(
        '127.0.0.1:1', reads_per_s=reads_per_s, writes_per_s=writes_per_s
    )
    spread = ReturnSpread(settings, lambda: router_count)
    seconds = spread.longest.total_seconds()
    assert router_count * READS / seconds < reads_per_s
    assert router_count * WRITES / seconds < writes_per_s
    assert all(
        timedelta(0) <= spread.draw() <= spread.longest for _ in range(100)
    )
