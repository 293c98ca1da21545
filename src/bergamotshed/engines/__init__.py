"""
bergamotshed.engines
~~~~~~~~~~~~~~~~~~~~

HTTP client of the model engines, and the load reports read through it.
"""
