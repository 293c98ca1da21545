"""
tests.gateway.members
~~~~~~~~~~~~~~~~~~~~~

Gateways that share the store and the upstreams of a test, each with a way to
the store of its own.
"""

__all__ = ('REVOKE_MS', 'Member', 'start_member', 'wait_until_acquainted')

import asyncio
from collections import Counter
from collections.abc import Awaitable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from aiohttp import ClientSession

from bergamotshed.clock import SystemClock
from bergamotshed.gateway.composition import build_gateway
from bergamotshed.gateway.live_settings import LiveSettings
from bergamotshed.gateway.parts import Gateway
from bergamotshed.process.journal import Journal
from bergamotshed.store.types import Changes, Position, Topic
from tests.relay import Relay
from tests.waiting import until

from .support import GatewayEnvironment, make_settings, serving

REVOKE_MS = 2500.0


@dataclass(frozen=True, slots=True)
class Member:
    """A gateway and its own way to the store.

    :ivar direct_reads: reads that it sent to the store itself
    """

    gateway: Gateway
    way_to_store: Relay
    direct_reads: Counter[Topic]

    @property
    def port(self) -> int:
        return int(self.gateway.settings.addresses.callers.split(':')[1])


async def start_member(
    stack: AsyncExitStack,
    env: GatewayEnvironment,
    name: str,
    *,
    until_ready: bool = True,
    first_start: bool = True,
) -> Member:
    """Start a gateway that has its own way to the store."""
    relay = Relay(env.store.address)
    await relay.start()
    stack.callback(relay.close)
    session = await stack.enter_async_context(ClientSession())
    clock = SystemClock()
    settings = make_settings(
        relay.address, REVOKE_MS, 8, name, first_start=first_start
    )
    gateway = build_gateway(
        LiveSettings(settings, '', clock), session, clock, Journal()
    )
    await stack.enter_async_context(serving(gateway))
    announcing = asyncio.create_task(gateway.announcer.run())
    stack.callback(announcing.cancel)
    if until_ready:
        await until(gateway.is_ready)
    return Member(gateway, relay, _count_reads(gateway))


async def wait_until_acquainted(members: Sequence[Member]) -> None:
    """Wait until each gateway has a heartbeat of all others."""
    await until(
        lambda: all(
            len(member.gateway.fleet.heartbeats.latest_heartbeats)
            >= len(members) - 1
            for member in members
        )
    )


def _count_reads(gateway: Gateway) -> Counter[Topic]:
    counter: Counter[Topic] = Counter()
    store: Any = gateway.fleet.store
    read = store.read

    def read_and_count(
        topic: Topic, start: Position, wait: timedelta
    ) -> Awaitable[Changes]:
        counter[topic] += 1
        return read(topic, start, wait)  # type: ignore[no-any-return]

    store.read = read_and_count
    return counter
