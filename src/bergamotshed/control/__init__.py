"""
bergamotshed.control
~~~~~~~~~~~~~~~~~~~~

State kept in the platform's log (the configuration, leases and claims), and
the tasks that the holder of the control lease runs.
"""
