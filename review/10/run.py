"""A process is killed and starts again while the store keeps 20 s of history."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-2"))

from standins import Client
from standins import Fleet
from standins import Server
from standins import Store
from standins import Unrunnable
from standins import config
from standins import loopback_base
from standins import main
from standins import post
from standins import request_id
from standins import route

MACHINES = 3
KILLED = 1
# The sheets: "20 s of history".
KEEP_S = 20
PREPAID = 1_000_000
PROMPT = 100
OUTPUT = 30
DAY_S = 40
PROBES = 200
STABLE_S = 3.0
# More than 5 + one in 500 of all requests.
DENIED_BASE = 5
DENIED_SHARE = 500


def send(fleet, record, machine, number, statuses):
    request = request_id()
    more = f"Model: m\r\nToken-Counts: {PROMPT},{OUTPUT}\r\nPrompt-Prefix: 5c1e07a2:80,{number + 1:x}:20\r\n"
    try:
        answer = Client.exchange(
            (fleet.addresses[machine], 8227), post("/chat/x", request, 4000, more), 4
        )
    except OSError as error:
        record.line(f"{request} at {fleet.names[machine]}: {error}")
        return
    record.line(
        f"{request} at {fleet.names[machine]}: status {answer.status}"
        f" {answer.body[:30] if answer.status != 200 else ''}"
    )
    statuses.append((machine, answer.status))


def case(record, trouble):
    base = loopback_base()
    store = Store(f"{base}.2", keep_s=KEEP_S)
    routes = [route("r-c", "chat", "streaming", "engine", 4000, 1, session_affinity=True)]
    store.write("keyed.op", "config", config(1, routes, prepaid=PREPAID))
    for number in range(2):
        server = Server(store, record, f"i-{number}", "engine", f"{base}.{100 + number}")
        server.events = OUTPUT // 3
        server.pause_s = 0.01
    fleet = Fleet(record, store, MACHINES, base, keep_s=KEEP_S)
    statuses = []
    try:
        fleet.start_all()
        time.sleep(4)
        began = time.monotonic()
        number = 0
        while time.monotonic() < began + DAY_S:
            number += 1
            thread = threading.Thread(
                target=send, args=(fleet, record, number % MACHINES, number, statuses)
            )
            thread.start()
            time.sleep(0.2)
        if trouble:
            fleet.kill(KILLED)
            time.sleep(1)
            fleet.start(KILLED)
            fleet.wait_ready(KILLED)
        # The machine is in touch from then on.
        time.sleep(STABLE_S + 1)
        for probe in range(PROBES):
            number += 1
            send(fleet, record, probe % MACHINES, number, statuses)
    finally:
        fleet.end()
    denied = [machine for machine, status in statuses if status == 402]
    # Each request was charged its 130 tokens at the most.
    used = len(statuses) * (PROMPT + OUTPUT)
    record.line(
        f"requests: {len(statuses)}, tokens used at the most: {used} of {PREPAID},"
        f" answered 402: {len(denied)} by machines {sorted(set(denied))}"
    )
    if sum(status == 200 for _machine, status in statuses) < len(statuses) / 2 or len(statuses) < PROBES:
        raise Unrunnable("too few requests were served")
    if len(denied) > DENIED_BASE + len(statuses) / DENIED_SHARE:
        return f"DENIED: {len(denied)} of {len(statuses)} requests got 402, with {used} of {PREPAID} tokens used"
    return None


if __name__ == "__main__":
    main(case, FOLDER)
