"""
bergamotshed.routers.options
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits of the sockets between routers.
"""

__all__ = (
    'FRAME_OVERHEAD_BYTES',
    'HANDSHAKE_TIMEOUT_MS',
    'MAX_FRAME_BYTES',
    'MAX_QUESTION_BYTES',
    'MAX_RECONNECT_MS',
    'MIN_RECONNECT_MS',
    'RECEIVE_QUEUE_MESSAGES',
    'SEND_QUEUE_MESSAGES',
    'SOCKET_HEARTBEAT_MS',
    'SOCKET_HEARTBEAT_TIMEOUT_MS',
)

#: Queue length of outgoing messages per peer; more are dropped and counted.
SEND_QUEUE_MESSAGES = 1000

#: Queue length of messages received from each peer.
RECEIVE_QUEUE_MESSAGES = 1000

#: Largest frame that is accepted.
MAX_FRAME_BYTES = 4 * 1024 * 1024

#: Largest question or notice; only answers are longer.
MAX_QUESTION_BYTES = 524_288

#: How long a connection may take until its greeting and its handshake have
#: arrived.
HANDSHAKE_TIMEOUT_MS = 1000

#: ZeroMQ's header of a short frame.
FRAME_OVERHEAD_BYTES = 2

#: First and longest delay between two attempts to connect.
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 1000

#: Interval of ZeroMQ's heartbeats on a connection, and how long one may remain
#: unanswered before the connection is closed and opened again.
SOCKET_HEARTBEAT_MS = 1000
SOCKET_HEARTBEAT_TIMEOUT_MS = 1500
