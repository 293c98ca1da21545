"""
tools.capacity.standin_peers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Minimal stand-ins for the peers of the measured router, in one process. They
send it heartbeats, request placements from it as a home, and answer its
requests as homes. Started by ``tools.capacity.peers``.
"""

__all__ = ('main',)

import asyncio
import random
import sys

import zmq
from zmq.asyncio import Context, Socket

from bergamotshed.routers.messages import (
    AnswerFailed,
    Heartbeat,
    Hello,
    LoadVector,
    LoadVectorRequest,
    PlaceAnswer,
    PlaceRequest,
    Release,
)
from bergamotshed.routers.wire import decode, encode
from bergamotshed.routing.homes import home_of
from bergamotshed.routing.monitors import monitors_of
from bergamotshed.routing.view import RouterNode

from .scenario import (
    ENGINES,
    MEASURED_ROUTER,
    PARTITIONS,
    SERVICE,
    organisation_name,
    peer_names,
)

CHAT_BITS = 64


class StandInPeer:
    """One stand-in: a bound socket, and a connection to the router."""

    def __init__(self, context: Context, name: str) -> None:
        self.name = name
        self.socket = context.socket(zmq.ROUTER)
        self.port = self.socket.bind_to_random_port('tcp://127.0.0.1')
        self._context = context
        self._client_socket: Socket | None = None

    def client_socket(self, address: str) -> Socket:
        """Return the connection to the router, opened at the first use."""
        if self._client_socket is None:
            self._client_socket = self._context.socket(zmq.DEALER)
            self._client_socket.setsockopt(zmq.IDENTITY, self.name.encode())
            self._client_socket.connect(f'tcp://{address}')
            self._client_socket.send(encode(0, Hello(1, 1)))
        return self._client_socket

    async def serve(self) -> None:
        """Answer the router's requests."""
        grant = 1 << 61
        while True:
            identity, frame = await self.socket.recv_multipart()
            envelope = decode(frame)
            if envelope.question <= 0:
                continue
            grant += 1
            answer: PlaceAnswer | LoadVector | AnswerFailed = AnswerFailed()
            if isinstance(envelope.message, PlaceRequest):
                answer = PlaceAnswer(f'engine-{grant % ENGINES}', grant)
            elif isinstance(envelope.message, LoadVectorRequest):
                answer = LoadVector(
                    SERVICE, envelope.message.partition, 1, 0, {}
                )
            reply = encode(-envelope.question, answer)
            await self.socket.send_multipart((identity, reply))


async def send_heartbeats(peers: list[StandInPeer], address: str) -> None:
    """Send a heartbeat a second from each peer that the router monitors."""
    by_name = {peer.name: peer for peer in peers}
    all_names = [MEASURED_ROUTER, *by_name]
    senders = [
        name
        for name in by_name
        if MEASURED_ROUTER in monitors_of(name, all_names)
    ]
    sequence = 0
    while True:
        sequence += 1
        for name in senders:
            message = Heartbeat(name, 1764800000000000, sequence, 123456)
            await by_name[name].client_socket(address).send(encode(0, message))
        await asyncio.sleep(1)


async def send_requests(
    peers: list[StandInPeer], address: str, rate: float
) -> None:
    """Request placements in the router's partitions and release them."""
    rng = random.Random(1)
    tasks = set()
    nodes = [RouterNode(name, '', '', 'z') for name in peer_names(len(peers))]
    nodes.append(RouterNode(MEASURED_ROUTER, '', '', 'z'))
    partitions = [
        partition
        for partition in range(PARTITIONS)
        if home_of(SERVICE, partition, nodes) == MEASURED_ROUTER
    ]
    while rate > 0:
        peer = rng.choice(peers)
        task = asyncio.create_task(
            _place_and_release(peer, address, rng, rng.choice(partitions))
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / rate)


async def _place_and_release(
    peer: StandInPeer, address: str, rng: random.Random, partition: int
) -> None:
    socket = peer.client_socket(address)
    question = rng.getrandbits(20) + 1
    message = PlaceRequest(
        b'#' + rng.randbytes(16),
        SERVICE,
        organisation_name(rng.randrange(10)),
        ((partition << CHAT_BITS) + rng.getrandbits(CHAT_BITS)) // PARTITIONS,
        'model-7',
        1000,
        5,
        60000,
    )
    await socket.send(encode(question, message))
    envelope = decode(await socket.recv())
    await asyncio.sleep(2)
    if isinstance(envelope.message, PlaceAnswer):
        release = Release(envelope.message.grant, 0, 900)
        await socket.send(encode(0, release))


async def main(count: int, rate: float) -> None:
    """Print the ports, read the router's address, then run the peers."""
    context = Context()
    context.set(zmq.MAX_SOCKETS, 4 * count + 100)
    peers = [StandInPeer(context, name) for name in peer_names(count)]
    print(*(peer.port for peer in peers), flush=True)
    address = sys.stdin.readline().strip()
    async with asyncio.TaskGroup() as tasks:
        for peer in peers:
            tasks.create_task(peer.serve())
        tasks.create_task(send_heartbeats(peers, address))
        tasks.create_task(send_requests(peers, address, rate))


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), float(sys.argv[2])))
