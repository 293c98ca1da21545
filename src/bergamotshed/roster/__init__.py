"""
bergamotshed.roster
~~~~~~~~~~~~~~~~~~~

The routers of the fleet, which announce themselves in the store.
"""
