"""
bergamotshed
~~~~~~~~~~~~

A router fleet for large language model engines: routes each chat to the
engine that has its history cached.
"""

__all__ = ('__version__',)

__version__ = '0.1.0'
