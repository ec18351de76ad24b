"""BUDGET: a machine leaves as planned while the store is in a drill."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from deployment import *

# A request of the kind `stack-plan` of the sheet: 6,300 + 2,890 tokens in, 17 events out.
PROMPT, MOST = 9_190, 17 * STRIDE
PREPAID = 200_000
# Requests that the leaving machine serves while it still serves: 110,892 tokens.
AT_LEAVING = 12
AWAY_S = 1.0
# Time after SIGTERM at which the store goes away. The process returns its tokens and
# closes its accounts 3 s after SIGTERM.
AWAY_AFTER_S = 2.6


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
    leaving, others = fronts[0], fronts[1:]
    copy = store.copy()
    case.record("a copy of the store is made")

    # Planned work: the machine is stopped and does not come back.
    stopped_at = time.monotonic()
    leaving.signal(signal.SIGTERM)
    for _round in range(AT_LEAVING // 4):
        await asyncio.gather(*(spending.send(leaving) for _ in range(4)))
    await asyncio.sleep(max(0, stopped_at + AWAY_AFTER_S - time.monotonic()))
    if case.trouble:
        store.go_away()
        case.record("drill: the store is away")
    await asyncio.sleep(AWAY_S)
    if case.trouble:
        store.come_back_from(copy)
        case.record("drill: the store is back from the copy")
    await wait_until(lambda: leaving.process.poll() is not None, 8, "the end of the process")
    case.record(f"the process of {leaving.name} has ended with {leaving.process.returncode}")

    # Longer than any pause that the page on the design names.
    await asyncio.sleep(4)
    for number in range(24):
        answer = await spending.send(others[number % len(others)])
        if answer.status == 503:
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.5")))
    case.record(
        f"team-a was served {spending.tokens} tokens in {spending.served} requests; "
        f"prepaid {PREPAID}; runs at the server {len(engine.runs)}"
    )
    return spending.tokens <= PREPAID


Case(os.path.dirname(os.path.abspath(__file__))).run(play)
