"""
bergamotshed.routers
~~~~~~~~~~~~~~~~~~~~

Communication between routers: placement at home routers, idempotency claims,
heartbeats and load reports.
"""
