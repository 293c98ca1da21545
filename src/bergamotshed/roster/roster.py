"""
bergamotshed.roster.roster
~~~~~~~~~~~~~~~~~~~~~~~~~~

The routers that the store lists, and which of them callers may use.
"""

__all__ = ('Roster',)

from collections.abc import Callable, Sequence

from eliot import log_message

from ..routing.view import RouterNode, RouterView
from ..store.types import Entry, TopicConsumer
from .types import RosterEntry, decode_entry


class Roster(TopicConsumer, RouterView):
    """The routers that the store lists, always including this one.

    :param own: the entry of this router
    """

    def __init__(self, own: RosterEntry) -> None:
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
        """Return the number of routers, including silent ones."""
        return len(self._entries)

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
            for entry in self._entries.values()
        )

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
        listed = {entry.key for entry in entries} | {self._own.name}
        for name in self._entries.keys() - listed:
            del self._entries[name]
        self.apply_changes(entries, sent_at)

    def apply_changes(self, entries: Sequence[Entry], sent_at: float) -> None:
        """Apply announcements and removals in order."""
        for entry in entries:
            if entry.key != self._own.name:
                self._apply(entry)

    def _apply(self, entry: Entry) -> None:
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
