"""
bergamotshed.routers.options
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits of the sockets between routers.
"""

__all__ = (
    'FRAME_OVERHEAD_BYTES',
    'MAX_FRAME_BYTES',
    'MAX_RECONNECT_MS',
    'MIN_RECONNECT_MS',
    'RECEIVE_QUEUE_MESSAGES',
    'SEND_QUEUE_MESSAGES',
    'SOCKET_HEARTBEAT_MS',
    'SOCKET_HEARTBEAT_TIMEOUT_MS',
)

#: Messages that wait for a peer; more are dropped and counted.
SEND_QUEUE_MESSAGES = 1000

#: Messages that wait to be read from all peers.
RECEIVE_QUEUE_MESSAGES = 10000

#: Largest frame accepted, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024

#: ZeroMQ's own header of a short frame, in bytes.
FRAME_OVERHEAD_BYTES = 2

#: First and longest pause between two attempts to connect.
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 1000

#: Probes of a connection, and how long one may go unanswered: a connection
#: that went silent is made anew.
SOCKET_HEARTBEAT_MS = 1000
SOCKET_HEARTBEAT_TIMEOUT_MS = 1500
