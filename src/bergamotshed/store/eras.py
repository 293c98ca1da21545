"""
bergamotshed.store.eras
~~~~~~~~~~~~~~~~~~~~~~~

Reads the number of the store's history, as the store states it.
"""

__all__ = ('EraReader',)

from eliot import log_message

from ..decoding import parse_number

MAX_LOGGED_CHARACTERS = 80


class EraReader:
    """Reads the eras of the store's answers and logs what is wrong with them.

    A missing, malformed or lower era is an era like any other: it differs from
    the one before, so the topics are listed again.
    """

    def __init__(self) -> None:
        self._newest: int | None = None
        self._reported: str | None = None

    def read(self, text: str | None) -> int | None:
        """Return the era; ``None`` if it is missing or malformed.

        :param text: as the store states it; ``None`` if it does not
        """
        if text is None:
            if self._newest is not None:
                self._report('missing')
            return None
        era = parse_number(text)
        if era is None:
            self._report(text)
            return None
        if self._newest is not None and era < self._newest:
            self._report(text)
            return era
        self._newest = era
        self._reported = None
        return era

    def _report(self, text: str) -> None:
        """Log a questionable era, unless it was the last one logged."""
        if text != self._reported:
            self._reported = text
            log_message(
                'store.era_unclear',
                era=text[:MAX_LOGGED_CHARACTERS],
                newest=self._newest,
            )
