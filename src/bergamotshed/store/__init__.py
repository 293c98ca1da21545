"""
bergamotshed.store
~~~~~~~~~~~~~~~~~~

The platform's keyed store: the newest value of each key of a topic, and the
changes since.
"""
