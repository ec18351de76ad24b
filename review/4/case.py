"""ORDER: streams go on at another software version, at a machine that lost the store."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import *

# A request of the kind `fit-note` of the sheet, which may be resumed: 568 + 1,800 tokens
# in. 20 events with pauses of 120 ms (250 ms allowed).
PROMPT, MOST = 2_368, 20 * STRIDE
PAUSE_S = 0.12
DEADLINE_MS = 4_000
STREAMS = 24


class Servers:
    """Servers and their entries, which each writes every heartbeat interval."""

    def __init__(self, case, store):
        self.case, self.store, self.states, self.sequence = case, store, {}, 0

    async def start(self, name, version, service="engine"):
        server = await Engine(self.case.record, name, version, PAUSE_S).start()
        entry = server.entry
        server.entry = lambda *more: {**entry(*more), "service": service}
        return server

    def write(self, server, state):
        if self.states.get(server) != state:
            self.case.record(f"entry of {server.name}: version={server.version} {state}")
        if server not in self.states:
            server.beats = asyncio.create_task(self.beat(server))
        self.states[server] = state
        self.sequence += 1
        self.store.write("keyed.servers", server.name, server.entry(state, self.sequence))

    async def beat(self, server):
        while True:
            await asyncio.sleep(BEAT_S)
            self.write(server, self.states[server])


async def play(case):
    store = await Store().start()
    servers = Servers(case, store)
    teams = [("team-a", "key-a", 10_000_000)]
    store.write("keyed.op", "config", config(1, teams, resume=True, timeout_ms=DEADLINE_MS))
    old = [await servers.start(f"i-old-{n}", "1") for n in range(1, 5)]
    new = [await servers.start(f"i-new-{n}", "2") for n in range(1, 4)]
    plain = [await servers.start(f"i-plain-{n}", "1", "studio-app") for n in range(4)]
    for server in old + plain:
        servers.write(server, "ready")
        await asyncio.sleep(BEAT_S / 8)
    path = await Path(store.address).start()
    cut = case.front("front-a-1", path.address)
    killed = case.front("front-b-1", store.address, zone="b")
    third = case.front("front-c-1", store.address, zone="c")
    for front in (cut, killed, third):
        front.start(bootstrap=True)
    for front in (cut, killed, third):
        await front.wait_ready()
    await asyncio.sleep(3)

    began = time.monotonic()

    async def at(seconds):
        await asyncio.sleep(max(0, began + seconds - time.monotonic()))

    if case.trouble:
        path.cut()
        case.record(f"the path from {cut.name} to the store is cut")
    # Planned work: an empty server is added, and two of four servers are replaced one after
    # the other; each new one starts first, then the old one drains and goes on serving.
    await at(0.1)
    servers.write(new[2], "ready")
    for number, seconds in enumerate((0.1, 1.1)):
        await at(seconds)
        servers.write(new[number], "ready")
        servers.write(old[number], "draining")

    mixed = taken_up = 0

    async def stream(again_at):
        nonlocal mixed, taken_up
        first = case.request_id()
        answer = await send_stream(killed.port, first, PROMPT, MOST, deadline_ms=DEADLINE_MS)
        case.record(
            f"client {first} at {killed.name}: status={answer.status} events to {answer.last} "
            f"complete={answer.is_complete}"
        )
        if answer.is_complete or not answer.events:
            return
        # The client takes the stream up at an address that has not failed it.
        taken_up += 1
        second = case.request_id()
        rest = await send_stream(
            again_at.port, second, PROMPT, MOST, deadline_ms=3_000, after=answer.last,
            resumes=first,
        )
        events = answer.events + rest.events
        versions = sorted({data.split(" ")[1] for _number, data in events})
        case.record(
            f"client {second} takes {first} up at {again_at.name} after {answer.last}: "
            f"status={rest.status} {rest.body} complete={rest.is_complete}; events of the "
            f"stream are of versions {versions}"
        )
        mixed += len(versions) > 1

    await at(1.5)
    tasks = []
    for number in range(STREAMS):
        again_at = (cut, third)[number % 2]
        tasks.append(asyncio.create_task(stream(again_at)))
    await at(1.87)
    if case.trouble:
        killed.kill()
    await asyncio.gather(*tasks)
    # The cut lasts longer than needed, and less than the 5.5 s of the site file.
    path.heal()
    case.record(
        f"{STREAMS} streams, {taken_up} taken up, {mixed} hold events of two software versions"
    )
    return mixed <= 2


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
