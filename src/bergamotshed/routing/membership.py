"""
bergamotshed.routing.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This router's view of the fleet, merged from the VM list, the reports of
peers and the outcomes of requests.
"""

__all__ = ('Membership', 'PeerReport')

from collections.abc import Iterable
from dataclasses import replace

from ..clock import Clock
from .gossip import Gossip
from .health import UpstreamHealth
from .monitors import monitored_by
from .peertable import PeerReport, PeerTable
from .types import Upstream, UpstreamState
from .view import FleetView, RouterNode


class Membership(FleetView):
    """Merges all sources; cheap to read, recomputed on change.

    :param node: this router, always part of the view
    :ivar leaving: VMs that leave, by this router's list and its peers' reports
    :ivar silent_routers: routers that don't answer
    """

    def __init__(
        self, node: RouterNode, clock: Clock, health: UpstreamHealth
    ) -> None:
        self.health = health
        self.leaving = Gossip(node.name, clock)
        self.silent_routers = Gossip(node.name, clock)
        self.peers = PeerTable(clock, self.silent_routers)
        self._node = node
        self._listed: dict[str, list[Upstream]] = {}
        self._listed_routers: tuple[RouterNode, ...] = ()
        self._view: dict[str, tuple[Upstream, ...]] = {}
        self._router_view: tuple[RouterNode, ...] = (node,)
        self._health_changes = health.changes

    @property
    def node(self) -> RouterNode:
        """Return this router."""
        return self._node

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the listed services."""
        return tuple(self._listed)

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's upstreams, sorted by name."""
        if self._health_changes != self.health.changes:
            self._refresh()
        return self._view.get(service, ())

    def routers(self) -> tuple[RouterNode, ...]:
        """Return all routers, this one included, sorted by name.

        The same tuple object is returned until something changes.
        """
        return self._router_view

    def config_versions(self) -> dict[str, int]:
        """Return the configuration version that each live peer reported."""
        return {
            report.node: report.config_version
            for report in self.peers.live_reports
        }

    def update_list(
        self, upstreams: Iterable[Upstream], routers: Iterable[RouterNode]
    ) -> None:
        """Replace the VM list; while none can be read, the last one stays."""
        listed = sorted(upstreams, key=lambda upstream: upstream.name)
        self._listed = {}
        for upstream in listed:
            self._listed.setdefault(upstream.service, []).append(upstream)
        self._listed_routers = tuple(
            router for router in routers if router.name != self._node.name
        )
        names = [router.name for router in self._listed_routers]
        all_names = sorted([*names, self._node.name])
        self.peers.track(names, monitored_by(self._node.name, all_names))
        self.health.track(vm.name for vm in listed)
        self._assert_leaving()
        self._refresh()

    def drain(self) -> None:
        """Mark this router as leaving."""
        self._node = replace(self._node, leaving=True)
        self._assert_leaving()
        self._refresh()

    def merge_report(self, report: PeerReport) -> bool:
        """Merge a peer's report; return whether it was new."""
        if not self.peers.is_newer(report):
            return False
        routers = {router.name for router in self._listed_routers}
        self.health.merge_gossip(
            [item for item in report.suspects if item.name not in routers],
            report.cleared,
        )
        self.silent_routers.merge(
            item for item in report.suspects if item.name in routers
        )
        is_back = self.peers.merge_report(report)
        if self.leaving.merge(report.leaving) or is_back:
            self._refresh()
        return True

    def mark_suspect(self, router: str) -> None:
        """Suspect a router that didn't answer, until it reports again."""
        if self.peers.mark_suspect(router):
            self._refresh()

    def tick(self) -> None:
        """Update suspicions by time; call it several times a second."""
        self.health.expire()
        self.silent_routers.expire()
        has_expired = self.leaving.expire()
        if self.peers.tick() or has_expired:
            self._refresh()
        self.silent_routers.assert_own(self.peers.silent_routers)

    def _assert_leaving(self) -> None:
        """Assert the leaving VMs of this router's list, and itself if it
        leaves.
        """
        names = [
            upstream.name
            for listed in self._listed.values()
            for upstream in listed
            if upstream.state is UpstreamState.LEAVING
        ]
        nodes = (*self._listed_routers, self._node)
        names.extend(node.name for node in nodes if node.leaving)
        self.leaving.assert_own(names)

    def _refresh(self) -> None:
        self._health_changes = self.health.changes
        leaving = self.leaving.names
        self._view = {
            service: self._with_states(listed, leaving)
            for service, listed in self._listed.items()
        }
        nodes = [
            replace(
                router,
                leaving=router.name in leaving,
                suspect=self.peers.is_suspect(router.name),
            )
            for router in self._listed_routers
        ]
        nodes.append(self._node)
        self._router_view = tuple(sorted(nodes, key=lambda node: node.name))

    def _with_states(
        self, listed: list[Upstream], leaving: frozenset[str]
    ) -> tuple[Upstream, ...]:
        marked = [
            replace(upstream, state=UpstreamState.LEAVING)
            if upstream.name in leaving
            else upstream
            for upstream in listed
        ]
        states = self.health.states(marked)
        return tuple(
            replace(upstream, state=state)
            for upstream, state in zip(marked, states, strict=True)
        )
