"""
bergamotshed.roster.roster
~~~~~~~~~~~~~~~~~~~~~~~~~~

The routers that the store lists, and which of them callers may use.
"""

__all__ = ('Roster',)

from collections.abc import Callable, Sequence

from eliot import log_message

from ..clock import Clock
from ..routing.view import RouterNode, RouterView
from ..store.health import RETURN_WINDOW, StoreHealth
from ..store.types import Entry, TopicConsumer
from .types import RosterEntry, decode_entry


class Roster(TopicConsumer, RouterView):
    """The routers that the store lists, always including this one.

    A store that comes back from an older copy lacks the routers that came
    meanwhile until they have written their entries again.

    :param own: the entry of this router
    :param health: tells when the store came back
    """

    def __init__(
        self, own: RosterEntry, health: StoreHealth, clock: Clock
    ) -> None:
        self._own = own
        self._health = health
        self._clock = clock
        self._entries: dict[str, RosterEntry] = {own.name: own}
        self._return_deadlines: dict[str, float] = {}
        self._check_own: Callable[[RosterEntry | None], None] = _ignore_own

    @property
    def entries(self) -> tuple[RosterEntry, ...]:
        """Return all routers."""
        self._drop_expired()
        return tuple(self._entries.values())

    @property
    def others(self) -> tuple[RosterEntry, ...]:
        """Return all routers but this one."""
        return tuple(
            entry for entry in self.entries if entry.name != self._own.name
        )

    def count(self) -> int:
        """Return the number of routers, including silent ones."""
        return len(self.entries)

    def routers(self) -> tuple[RouterNode, ...]:
        """Return all routers in the form that the mesh uses."""
        return tuple(
            RouterNode(
                entry.name,
                entry.callers,
                entry.peers,
                entry.domain,
                leaving=entry.leaving,
            )
            for entry in self.entries
        )

    def watch_own(self, check: Callable[[RosterEntry | None], None]) -> None:
        """Call a function with this router's entry in each listing.

        Its argument is ``None`` where the listing lacks the entry.
        """
        self._check_own = check

    def entry_addresses(
        self, is_usable: Callable[[str], bool], *, is_ready: bool
    ) -> list[str]:
        """Return the addresses where callers may connect.

        If no router is usable, those that are not leaving are returned.

        :param is_usable: returns whether a listed router accepts requests
        :param is_ready: whether this router accepts requests
        """
        staying = [entry for entry in self.others if not entry.leaving]
        usable = [entry for entry in staying if is_usable(entry.name)]
        if is_ready:
            usable.insert(0, self._own)
        return [entry.callers for entry in usable or staying or [self._own]]

    def replace_entries(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Replace the list."""
        values = {entry.key: entry.value for entry in entries}
        deadline = self._health.outage_ended_at + RETURN_WINDOW.total_seconds()
        for name in self._entries.keys() - values.keys() - {self._own.name}:
            self._return_deadlines.setdefault(name, deadline)
        self._drop_expired()
        self.apply_changes(entries, sent_at)
        own = values.get(self._own.name)
        self._check_own(None if own is None else decode_entry(own))

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply announcements and removals in order."""
        for entry in entries:
            if entry.key != self._own.name:
                self._apply(entry)

    def _apply(self, entry: Entry) -> None:
        self._return_deadlines.pop(entry.key, None)
        if not entry.value:
            self._entries.pop(entry.key, None)
            log_message('router.gone', router=entry.key)
            return
        announced = decode_entry(entry.value)
        if announced is None or announced.name != entry.key:
            log_message('router.malformed', router=entry.key)
            return
        known = self._entries.get(entry.key)
        if known is not None and _is_from_before_leaving(announced, known):
            log_message('router.outdated', router=announced.name)
            return
        self._entries[entry.key] = announced
        log_message(
            'router.listed',
            router=announced.name,
            callers=announced.callers,
            leaving=announced.leaving,
        )

    def _drop_expired(self) -> None:
        if not self._return_deadlines:
            return
        now = self._clock.boottime()
        for name, deadline in tuple(self._return_deadlines.items()):
            if deadline <= now:
                del self._return_deadlines[name]
                self._entries.pop(name, None)
                log_message('router.gone', router=name)


def _ignore_own(_entry: RosterEntry | None) -> None:
    """Do nothing."""


def _is_from_before_leaving(announced: RosterEntry, known: RosterEntry) -> bool:
    return (
        known.leaving
        and not announced.leaving
        and known.started == announced.started
    )
