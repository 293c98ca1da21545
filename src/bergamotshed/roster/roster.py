"""
bergamotshed.roster.roster
~~~~~~~~~~~~~~~~~~~~~~~~~~

Which routers there are, by the store, and which of them callers may use.
"""

__all__ = ('Roster',)

from collections.abc import Callable, Sequence

from eliot import log_message

from ..routing.view import RouterNode, RouterView
from ..store.types import Entry, TopicConsumer
from .types import RosterEntry, decode_entry


class Roster(TopicConsumer, RouterView):
    """The routers that the store lists, this one always among them.

    :param own: this router
    :ivar leaving: this router is being stopped
    """

    def __init__(self, own: RosterEntry) -> None:
        self.is_leaving = False
        self._own = own
        self._entries: dict[str, RosterEntry] = {own.name: own}

    @property
    def entries(self) -> tuple[RosterEntry, ...]:
        """Return all routers."""
        return tuple(self._entries.values())

    @property
    def others(self) -> tuple[RosterEntry, ...]:
        """Return all routers but this one."""
        return tuple(
            entry
            for entry in self._entries.values()
            if entry.name != self._own.name
        )

    def count(self) -> int:
        """Return how many routers there are, silent ones included."""
        return len(self._entries)

    def routers(self) -> tuple[RouterNode, ...]:
        """Return all routers as the mesh knows them."""
        return tuple(
            RouterNode(
                entry.name,
                entry.callers,
                entry.peers,
                entry.domain,
                leaving=entry.leaving,
            )
            for entry in self._entries.values()
        )

    def entry_addresses(
        self, is_usable: Callable[[str], bool], *, ready: bool
    ) -> list[str]:
        """Return the addresses that callers may use.

        :param is_usable: tells whether a listed router takes requests
        :param ready: this router does
        """
        staying = [entry for entry in self.others if not entry.leaving]
        usable = [entry for entry in staying if is_usable(entry.name)]
        if ready:
            usable.insert(0, self._own)
        return [entry.callers for entry in usable or staying or [self._own]]

    def replace_entries(
        self, entries: Sequence[Entry], asked_at: float
    ) -> None:
        """Take the whole list."""
        listed = {entry.key for entry in entries} | {self._own.name}
        for name in self._entries.keys() - listed:
            del self._entries[name]
        self.apply_changes(entries, asked_at)

    def apply_changes(self, entries: Sequence[Entry], asked_at: float) -> None:
        """Take announcements and removals."""
        for entry in entries:
            if entry.key != self._own.name:
                self._take(entry)

    def _take(self, entry: Entry) -> None:
        if not entry.value:
            self._entries.pop(entry.key, None)
            log_message('router.gone', router=entry.key)
            return
        announced = decode_entry(entry.value)
        if announced is None or announced.name != entry.key:
            log_message('router.malformed', router=entry.key)
            return
        self._entries[entry.key] = announced
        log_message(
            'router.listed',
            router=announced.name,
            callers=announced.callers,
            leaving=announced.leaving,
        )
