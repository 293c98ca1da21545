"""
bergamotshed.routes
~~~~~~~~~~~~~~~~~~~

The routing table: which service takes which requests, and who may send them.
"""
