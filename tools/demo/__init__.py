"""
tools.demo
~~~~~~~~~~

Runs four routers, stand-ins of the platform and chats at the size of Cargas
Andinas; ``python -m tools.demo`` prints a short table and cleans up.
"""
