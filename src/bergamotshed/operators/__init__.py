"""
bergamotshed.operators
~~~~~~~~~~~~~~~~~~~~~~

The interface for operators: the command line, the library that describes a
fleet, and the HTTP server for health, state and metrics.
"""
