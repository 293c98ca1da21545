"""
bergamotshed.vms.watch
~~~~~~~~~~~~~~~~~~~~~~

Polls the VM list and reports each change to a listener. While the list can't
be read, the last one read stays in effect.
"""

__all__ = ('VmWatcher', 'router_nodes', 'upstreams')

from collections.abc import Callable, Iterable
from datetime import timedelta

from eliot import log_message

from ..clock import Clock
from ..routing.types import Upstream, UpstreamState
from ..routing.view import RouterNode
from .types import Vm, VmList, VmListError, VmRole, VmState

POLL_INTERVAL = timedelta(seconds=1)

VmListListener = Callable[[tuple[Upstream, ...], tuple[RouterNode, ...]], None]


class VmWatcher:
    """Polls the list once a second.

    :param listener: called with all upstreams and routers at each change
    :param peer_port: the port on which every router listens for its peers
    """

    def __init__(
        self,
        vms: VmList,
        listener: VmListListener,
        peer_port: int,
        clock: Clock,
    ) -> None:
        self._vms = vms
        self._listener = listener
        self._peer_port = peer_port
        self._clock = clock
        self._last_list: tuple[Vm, ...] | None = None
        self._is_reachable = True

    async def run(self) -> None:
        """Poll the list without end."""
        while True:
            await self.poll()
            await self._clock.sleep(POLL_INTERVAL)

    async def poll(self) -> None:
        """Read the list once and call the listener if it has changed."""
        try:
            vms = await self._vms.fetch()
        except VmListError as error:
            self._record_reachable(is_reachable=False, detail=str(error))
            return
        self._record_reachable(is_reachable=True)
        if vms is self._last_list:
            return
        self._last_list = vms
        self._listener(upstreams(vms), router_nodes(vms, self._peer_port))

    def _record_reachable(
        self, *, is_reachable: bool, detail: str = ''
    ) -> None:
        if is_reachable != self._is_reachable:
            log_message('vms.reachable', reachable=is_reachable, detail=detail)
        self._is_reachable = is_reachable


def upstreams(vms: Iterable[Vm]) -> tuple[Upstream, ...]:
    """Return the upstreams of a list, sorted by name."""
    found = (
        Upstream(
            name=vm.name,
            service=vm.service,
            address=vm.address,
            domain=vm.domain,
            state=_upstream_state(vm.state),
        )
        for vm in vms
        if vm.role is not VmRole.ROUTER
    )
    return tuple(sorted(found, key=lambda upstream: upstream.name))


def router_nodes(vms: Iterable[Vm], peer_port: int) -> tuple[RouterNode, ...]:
    """Return the routers of a list, sorted by name."""
    found = (
        RouterNode(
            name=vm.name,
            callers=vm.address,
            peers=f'{vm.address.rpartition(":")[0]}:{peer_port}',
            domain=vm.domain,
            leaving=vm.state is VmState.LEAVING,
        )
        for vm in vms
        if vm.role is VmRole.ROUTER
    )
    return tuple(sorted(found, key=lambda node: node.name))


def _upstream_state(state: VmState) -> UpstreamState:
    if state is VmState.LEAVING:
        return UpstreamState.LEAVING
    return UpstreamState.LIVE
