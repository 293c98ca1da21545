"""
bergamotshed.__main__
~~~~~~~~~~~~~~~~~~~~~

Entry point of the program and of ``python -m bergamotshed``.
"""

__all__ = ('run',)

import sys

from .operators.commands import main


def run() -> None:
    """Run the command line and exit the process with its exit code."""
    sys.exit(main(sys.argv))


if __name__ == '__main__':
    run()
