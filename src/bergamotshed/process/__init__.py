"""
bergamotshed.process
~~~~~~~~~~~~~~~~~~~~

Parts shared by all long-running processes: background tasks under aiomisc,
logs, metrics, counts of control traffic and the planned stop.
"""
