"""BUDGET: a machine is restarted as planned while the store is in a drill."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import *

# A request of the kind `stack-plan` of the sheet: 6,300 + 2,890 tokens in, 17 events out.
PROMPT, MOST = 9_190, 17 * STRIDE
COST = PROMPT + MOST
PREPAID = 200_000
# Requests that are served before the drill: 184,820 tokens.
BEFORE = 20
# Clients keep an answer of the directory for `ttl-s`, some of them three times as long.
KEPT = 3
CLIENTS = 6
AWAY_S = 1.0


class Spending:
    """What the clients of the tenant were served."""

    def __init__(self, case):
        self.case, self.tokens, self.served = case, 0, 0

    async def send(self, front):
        request = self.case.request_id()
        answer = await send_stream(front.port, request, PROMPT, MOST)
        if answer.status == 200:
            self.served += 1
            self.tokens += PROMPT + min(MOST, len(answer.events) * STRIDE)
        self.case.record(
            f"client {request} to {front.name}: status={answer.status} "
            f"events={len(answer.events)} served so far={self.tokens}"
        )
        return answer


async def resolve(case, front):
    """Asks a directory for addresses, as clients do; returns them and their time."""
    path = "/hibiscusswitch/resolve?name=h.example&region=r&zone=a"
    answer = await plain_get(front.first + 2, path)
    value = json.loads(answer.partition(b"\r\n\r\n")[2] or b"{}")
    case.record(f"directory at {front.name} answers {value}")
    return value.get("addresses", []), value.get("ttl-s", 0)


async def play(case):
    store = await Store().start()
    engine = await Engine(case.record, "i-engine-1").start()
    store.write("keyed.op", "config", config(1, [("team-a", "key-a", PREPAID)]))
    engine.keep_entry(store)
    fronts = [case.front(f"front-{zone}-1", store.address, zone=zone) for zone in "abc"]
    for front in fronts:
        front.start(bootstrap=True)
    for front in fronts:
        await front.wait_ready()
    await asyncio.sleep(3)
    spending = Spending(case)
    restarted, others = fronts[0], fronts[1:]

    # Planned work: one machine is stopped, and started again when its process has ended.
    addresses, ttl = await resolve(case, others[0])
    if f"127.0.0.1:{restarted.port}" not in addresses:
        raise CannotRun("the directory does not name the machine")
    kept_until = time.monotonic() + KEPT * ttl
    restarted.signal(signal.SIGTERM)
    await asyncio.sleep(1.8)
    copy = store.copy()
    case.record("a copy of the store is made")
    for _round in range(BEFORE // 4):
        await asyncio.gather(*(spending.send(others[n % len(others)]) for n in range(4)))
    await wait_until(lambda: restarted.process.poll() is not None, 8, "the end of the process")
    case.record(f"the process of {restarted.name} has ended")

    if case.trouble:
        store.go_away()
        case.record("drill: the store is away")
    await asyncio.sleep(0.3)
    restarted.start()
    await asyncio.sleep(AWAY_S - 0.3)
    if case.trouble:
        store.come_back_from(copy)
        case.record("drill: the store is back from the copy")
    if time.monotonic() > kept_until:
        raise CannotRun("the clients do not keep the address any more")

    async def client():
        while time.monotonic() < kept_until:
            await spending.send(restarted)
            await asyncio.sleep(0.05)

    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    await asyncio.sleep(3)
    for number in range(6):
        await spending.send(fronts[number % len(fronts)])
    case.record(
        f"team-a was served {spending.tokens} tokens in {spending.served} requests; "
        f"prepaid {PREPAID}; runs at the server {len(engine.runs)}"
    )
    return spending.tokens <= PREPAID


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
