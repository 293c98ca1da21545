"""
bergamotshed.dispatch
~~~~~~~~~~~~~~~~~~~~~

Processes one request: claims its idempotency key, places it on an upstream,
sends attempts, resumes or retries them, and produces the answer.
"""
