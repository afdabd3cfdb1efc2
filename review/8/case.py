"""Streams of two software versions are taken up after the keepers were killed."""
import asyncio
import random
import signal

from fleet2 import (Fleet, HOST, Runner, new_id, read_head, route_entry, run_case,
                    service_entry)

STREAMS = 24
EVENTS = 70
EVENT_S = 0.2
LIMIT_MS = 15000
CORE_DOWN_S = 0.5


class Engine(Runner):
    """A sound runner of a streaming service; it goes on at Last-Event-Id."""

    def __init__(self, fleet, service, number, version):
        super().__init__(fleet, service, number)
        self.version = version

    def entry(self):
        return dict(super().entry(), version=self.version)

    async def work(self, head, body, own, attempt, writer):
        writer.write(("HTTP/1.1 200 OK\r\n%sVanillaferry-Response-Signature: s-%s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % (own, attempt)).encode())
        for number in range(int(head.get("last-event-id", 0)) + 1, EVENTS + 1):
            event = ("id: %d\ndata: %s %d\n\n" % (number, self.version, number)).encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Stream:
    """A client's stream: its first attempt and, when that breaks, one take-up."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.began = fleet.now()
        self.first = None          # the attempt that brought the first event
        self.last = 0
        self.versions = []
        self.whole = False
        self.status = None

    async def attempt(self, address):
        """Reads events until the answer ends; returns how many came."""
        left = LIMIT_MS - int((self.fleet.now() - self.began) * 1000)
        if left <= 0:
            return 0
        try:
            return await asyncio.wait_for(self.read(address, left), left / 1000.0)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            return 0

    async def read(self, address, left):
        name, count = new_id(), 0
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = ("POST /chat/%d HTTP/1.1\r\nHost: %s\r\nX-Api-Key: k1\r\n"
                    "Vanillaferry-Attempt-Id: %s\r\n"
                    "Vanillaferry-Deadline-Milliseconds: %d\r\nContent-Length: 4\r\n"
                    % (self.number, HOST, name, left))
            if self.last:
                text += "Last-Event-Id: %d\r\nResumes: %s\r\n" % (self.last, self.first)
            writer.write(text.encode() + b"\r\nchat")
            head = await read_head(reader)
            if head is None:
                return 0
            self.status = int(head[""].split()[1])
            if self.status != 200:
                return 0
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                if size == 0:
                    self.whole = self.last == EVENTS
                    return count
                data = (await reader.readexactly(size)).decode()
                await reader.readexactly(2)
                for event in data.strip().split("\n\n"):
                    self.last = int(event.split("\n")[0].split(":")[1])
                    self.versions.append(event.split("data: ")[1].split()[0])
                    self.first = self.first or name
                    count += 1
        except (ConnectionError, asyncio.IncompleteReadError):
            return count
        finally:
            writer.close()


async def main(trouble):
    fleet = Fleet("8", keepers=5, gateways=3, record="record.txt")
    tasks = []
    try:
        tasks.append(asyncio.ensure_future(fleet.watch()))
        await fleet.start_list()
        for number in range(1, 5):
            runner = Engine(fleet, "llm", number, "v1" if number < 3 else "v2")
            fleet.runners.append(runner)
            await runner.start()
        for each in fleet.processes:
            each.start()
        routes = [route_entry("chat", "/chat/", "llm", "streaming", timeout_ms=LIMIT_MS,
                              target_latency_ms=1000, target_gap_ms=600, attempts=2,
                              stream_resumption=True, session_affinity=True)]
        status, _ = await fleet.order(
            "PUT", "/manifest", fleet.manifest(1, routes, [service_entry("llm")]))
        if status != 200:
            return 2
        for gateway in fleet.gateways:
            if not await fleet.wait_ready(gateway):
                return 2
        await asyncio.sleep(4)
        taken_up, went_on = [], []

        async def client(number):
            stream = Stream(fleet, number)
            await stream.attempt(fleet.front(0))
            fleet.note("stream %d: %d events from %s, whole: %s"
                       % (number, stream.last, sorted(set(stream.versions)), stream.whole))
            if stream.whole or not stream.last:
                return
            taken_up.append(stream)
            before = stream.last
            count = await stream.attempt(fleet.front(1 + number % 2))
            if count:
                went_on.append(stream)
            fleet.note("stream %d is taken up after event %d: status %s, %d more events "
                       "from %s" % (number, before, stream.status, count,
                                    sorted(set(stream.versions))))
        clients = [asyncio.ensure_future(client(n)) for n in range(STREAMS)]
        await asyncio.sleep(1.0)
        if trouble:
            for each in fleet.keepers:
                each.kill()
            fleet.note("all processes of the core are killed at the same moment")
            await asyncio.sleep(CORE_DOWN_S)
            for each in fleet.keepers:
                each.fields["bootstrap"] = False
                each.start()
            fleet.note("they start again, with their disks")
        else:
            await asyncio.sleep(CORE_DOWN_S)
        stopped = fleet.gateways[0]
        stopped.wanted = False
        stopped.signal(signal.SIGTERM)
        fleet.note("front-1 gets SIGTERM, as planned work")
        begun = []

        async def fresh(number):
            stream = Stream(fleet, number)
            task = asyncio.ensure_future(stream.attempt(fleet.front(1 + number % 2)))
            await asyncio.sleep(1.0)
            begun.append(bool(stream.last))
            fleet.note("new stream %d: %d events in a second" % (number, stream.last))
            task.cancel()
        await asyncio.sleep(7.2)
        await asyncio.gather(*[fresh(1000 + n) for n in range(STREAMS)])
        await asyncio.gather(*clients)
        text = ("taken up: %d, went on: %d; new streams: %d, begun: %d"
                % (len(taken_up), len(went_on), len(begun), sum(begun)))
        fleet.note(text)
        print(text)
        if len(taken_up) < 12 or not sum(begun):
            return 2
        share_up = len(went_on) / len(taken_up)
        share_new = sum(begun) / len(begun)
        return 1 if share_up < 0.5 * share_new else 0
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


run_case(main)
