from bergamotshed.clock import ManualClock
from bergamotshed.routing.types import Upstream, UpstreamState
from bergamotshed.routing.view import RouterNode
from bergamotshed.vms.types import Vm, VmList, VmListError, VmRole, VmState
from bergamotshed.vms.watch import VmWatcher

PEER_PORT = 7400


class SettableVmList(VmList):
    """Returns the list that a test sets; raises without one."""

    def __init__(self) -> None:
        self.current: tuple[Vm, ...] | None = None

    async def fetch(self) -> tuple[Vm, ...]:
        if self.current is None:
            raise VmListError('unreachable')
        return self.current


def vm(name: str, role: VmRole, state: VmState = VmState.LIVE) -> Vm:
    service = '' if role is VmRole.ROUTER else 'drafting'
    return Vm(name, role, service, '10.0.0.1:8080', 'a', 'local', state)


async def test_listener_is_called_for_each_change_only() -> None:
    vms = SettableVmList()
    changes: list[tuple[tuple[Upstream, ...], tuple[RouterNode, ...]]] = []
    watcher = VmWatcher(
        vms,
        lambda upstreams, routers: changes.append((upstreams, routers)),
        PEER_PORT,
        ManualClock(),
    )
    await watcher.poll()
    assert not changes
    vms.current = (
        vm('r1', VmRole.ROUTER, VmState.LEAVING),
        vm('e2', VmRole.ENGINE, VmState.LEAVING),
        vm('e1', VmRole.ENGINE),
    )
    await watcher.poll()
    await watcher.poll()
    vms.current = None
    await watcher.poll()
    assert len(changes) == 1
    upstreams, routers = changes[0]
    assert [(u.name, u.state) for u in upstreams] == [
        ('e1', UpstreamState.LIVE),
        ('e2', UpstreamState.LEAVING),
    ]
    assert routers[0].peers == f'10.0.0.1:{PEER_PORT}'
    assert routers[0].leaving
