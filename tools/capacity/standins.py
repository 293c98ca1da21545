"""
tools.capacity.standins
~~~~~~~~~~~~~~~~~~~~~~~

Small stand-ins for the peers of one router, in one process: they send it
heartbeats as its watched peers would, ask it for places as their home, and
answer as homes themselves. Started by ``tools.capacity.peers``.
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

from .scene import ENGINES, PARTITIONS, SERVICE, SUBJECT, names, organisation

CHAT_BITS = 64


class Peer:
    """One stand-in: a bound socket, and a connection to the subject."""

    def __init__(self, context: Context, name: str) -> None:
        self.name = name
        self.router = context.socket(zmq.ROUTER)
        self.port = self.router.bind_to_random_port('tcp://127.0.0.1')
        self._context = context
        self._dealer: Socket | None = None

    def dealer(self, address: str) -> Socket:
        """Return the connection to the subject, made when first used."""
        if self._dealer is None:
            self._dealer = self._context.socket(zmq.DEALER)
            self._dealer.setsockopt(zmq.IDENTITY, self.name.encode())
            self._dealer.connect(f'tcp://{address}')
            self._dealer.send(encode(0, Hello(1, 1)))
        return self._dealer

    async def serve(self) -> None:
        """Answer the subject's questions."""
        grant = 1 << 61
        while True:
            identity, frame = await self.router.recv_multipart()
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
            await self.router.send_multipart((identity, reply))


async def beat(peers: list[Peer], address: str) -> None:
    """Send the heartbeats that the subject should hear."""
    known = {peer.name: peer for peer in peers}
    everybody = [SUBJECT, *known]
    tellers = [
        name for name in known if SUBJECT in monitors_of(name, everybody)
    ]
    seq = 0
    while True:
        seq += 1
        for name in tellers:
            message = Heartbeat(name, 1764800000000000, seq, 123456)
            await known[name].dealer(address).send(encode(0, message))
        await asyncio.sleep(1)


async def ask(peers: list[Peer], address: str, rate: float) -> None:
    """Ask the subject for places in its partitions and release them."""
    rng = random.Random(1)
    calls = set()
    nodes = [RouterNode(name, '', '', 'z') for name in names(len(peers))]
    nodes.append(RouterNode(SUBJECT, '', '', 'z'))
    homed = [
        partition
        for partition in range(PARTITIONS)
        if home_of(SERVICE, partition, nodes) == SUBJECT
    ]
    while rate > 0:
        peer = rng.choice(peers)
        task = asyncio.create_task(
            _one_request(peer, address, rng, rng.choice(homed))
        )
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(1 / rate)


async def _one_request(
    peer: Peer, address: str, rng: random.Random, partition: int
) -> None:
    dealer = peer.dealer(address)
    question = rng.getrandbits(20) + 1
    message = PlaceRequest(
        b'#' + rng.randbytes(16),
        SERVICE,
        organisation(rng.randrange(10)),
        ((partition << CHAT_BITS) + rng.getrandbits(CHAT_BITS)) // PARTITIONS,
        'model-7',
        1000,
        5,
        60000,
    )
    await dealer.send(encode(question, message))
    envelope = decode(await dealer.recv())
    await asyncio.sleep(2)
    if isinstance(envelope.message, PlaceAnswer):
        release = Release(envelope.message.grant, 0, 900)
        await dealer.send(encode(0, release))


async def main(count: int, rate: float) -> None:
    """Print the ports, read the subject's address, then play."""
    context = Context()
    context.set(zmq.MAX_SOCKETS, 4 * count + 100)
    peers = [Peer(context, name) for name in names(count)]
    print(*(peer.port for peer in peers), flush=True)
    address = sys.stdin.readline().strip()
    async with asyncio.TaskGroup() as tasks:
        for peer in peers:
            tasks.create_task(peer.serve())
        tasks.create_task(beat(peers, address))
        tasks.create_task(ask(peers, address, rate))


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), float(sys.argv[2])))
