"""
bergamotshed.errors
~~~~~~~~~~~~~~~~~~~

The base class of the errors that the package raises, and errors shared by
several layers.
"""

__all__ = ('BergamotshedError', 'OptionError')


class BergamotshedError(Exception):
    """Base class of the errors of every layer."""


class OptionError(BergamotshedError):
    """A setting or configuration value is wrong.

    :param file: the file that was read
    :param section: the section of the file, or the path of the object in it
    :param key: the name of the option
    :param expected: the allowed values, in words
    """

    def __init__(
        self, file: str, section: str, key: str, expected: str
    ) -> None:
        super().__init__(f'{file}: [{section}] {key}: expected {expected}')
        self.file = file
        self.section = section
        self.key = key
        self.expected = expected
