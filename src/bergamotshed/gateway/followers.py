"""
bergamotshed.gateway.followers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How a gateway follows the topics of the store.
"""

__all__ = ('build_followers', 'relayed_ages', 'topic_consumers')

from datetime import timedelta

from ..clock import Clock
from ..store.follower import FollowerOptions, TopicFollower
from ..store.health import StoreHealth
from ..store.types import KeyedStore, Topic, TopicConsumer
from .return_spread import ReturnSpread
from .settings import GatewaySettings

#: Share of the time within which a change must take effect for which a read
#: may block; the rest is for transfer and for applying the change.
WAIT_SHARE = 0.7
#: Share of that time after which a router no longer relies on what a peer has
#: read; the rest is for the peer's answer and for a read of its own.
RELAYED_AGE_SHARE = 0.8
#: Pauses after a read with changes, which batch those that follow; otherwise
#: every change of a list would cause a call by every router. They are bounded
#: because a leaving upstream must be noticed, and a new version be in force,
#: within 2 s.
CONFIGURATION_BATCH_PAUSE = timedelta(milliseconds=150)
UPSTREAMS_BATCH_PAUSE = timedelta(milliseconds=600)
ROUTERS_BATCH_PAUSE = timedelta(seconds=1)

MILLISECOND = timedelta(milliseconds=1)


def build_followers(
    consumers: dict[Topic, tuple[TopicConsumer, FollowerOptions]],
    store: KeyedStore,
    health: StoreHealth,
    clock: Clock,
    spread: ReturnSpread,
) -> dict[Topic, TopicFollower]:
    return {
        topic: TopicFollower(
            store, topic, consumer, options, health, clock, spread.draw
        )
        for topic, (consumer, options) in consumers.items()
    }


def relayed_ages(settings: GatewaySettings) -> dict[Topic, timedelta]:
    """Return the accepted age of topics that are read through a peer."""
    limits = settings.configuration
    bounds_ms = {
        Topic.CONFIGURATION: limits.apply_ms,
        Topic.UPSTREAMS: limits.leave_ms,
    }
    return {
        topic: bound_ms * RELAYED_AGE_SHARE * MILLISECOND
        for topic, bound_ms in bounds_ms.items()
    }


def topic_consumers(
    settings: GatewaySettings,
    routing: TopicConsumer,
    registry: TopicConsumer,
    roster: TopicConsumer,
) -> dict[Topic, tuple[TopicConsumer, FollowerOptions]]:
    store = settings.store
    limits = settings.configuration
    return {
        Topic.CONFIGURATION: (
            routing,
            _follower_options(
                store.configuration_wait_ms,
                limits.apply_ms,
                CONFIGURATION_BATCH_PAUSE,
            ),
        ),
        Topic.UPSTREAMS: (
            registry,
            _follower_options(
                store.upstreams_wait_ms, limits.leave_ms, UPSTREAMS_BATCH_PAUSE
            ),
        ),
        Topic.ROUTERS: (
            roster,
            FollowerOptions(
                store.routers_wait_ms * MILLISECOND, ROUTERS_BATCH_PAUSE
            ),
        ),
    }


def _follower_options(
    max_wait_ms: float, bound_ms: float, batch_pause: timedelta
) -> FollowerOptions:
    """Return the options for a topic whose changes must be seen in time.

    A read may miss a record, or its answer may be lost; the change is then
    seen by the next read, so the wait bounds the delay.

    :param max_wait_ms: longest wait for a change in one read
    :param bound_ms: time within which a change must take effect
    """
    wait = min(max_wait_ms, bound_ms * WAIT_SHARE) * MILLISECOND
    return FollowerOptions(wait, batch_pause)
