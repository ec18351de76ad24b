"""A server starts again under its id with another software version while the store turns
one machine away; that machine begins streams there, and is killed later."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-2"))

from standins import Fleet
from standins import Server
from standins import Store
from standins import StreamClient
from standins import Unrunnable
from standins import config
from standins import loopback_base
from standins import main
from standins import route

MACHINES = 3
SERVERS = 4
STREAMS = 40
EVENTS = 40
DEADLINE_S = 15.0
RETRIES = 4
AWAY_S = 8.5
# The rule allows two such streams.
JOINED_LIMIT = 2


def case(record, trouble):
    base = loopback_base()
    store = Store(f"{base}.2")
    resumable = {"stream_resume": True, "session_affinity": True}
    routes = [route("r-r", "resume", "streaming", "engine", 15000, 2, **resumable)]
    store.write("keyed.op", "config", config(1, routes))
    servers = []
    for number in range(SERVERS):
        server = Server(store, record, f"i-{number}", "engine", f"{base}.{100 + number}")
        server.events = EVENTS
        server.pause_s = 0.3
        servers.append(server)
    fleet = Fleet(record, store, MACHINES, base)
    gate = store.gate()
    fleet.stores[0] = gate.address
    clients = []
    try:
        fleet.start_all()
        # The machines have found each other and have read all entries.
        time.sleep(4)
        began = time.monotonic()
        if trouble:
            gate.set_down(True)
            record.line(f"the store turns {fleet.names[0]} away")
        time.sleep(0.5)
        if trouble:
            servers[0].stop()
        time.sleep(0.5)
        if trouble:
            servers[0].restart("v2")
            servers[0].beat()
        time.sleep(0.5)
        threads = []
        for number in range(STREAMS):
            client = StreamClient(fleet, record, number, DEADLINE_S, RETRIES)
            thread = threading.Thread(target=client.run, args=(0, [1, 2]))
            thread.start()
            clients.append(client)
            threads.append(thread)
        time.sleep(began + AWAY_S - time.monotonic())
        if trouble:
            gate.set_down(False)
            record.line(f"the store serves {fleet.names[0]} again")
        time.sleep(2.5)
        fleet.kill(0)
        for thread in threads:
            thread.join(30)
    finally:
        fleet.end()
    joined = sum(1 for client in clients if len(client.versions()) > 1)
    complete = sum(1 for client in clients if client.complete)
    newer = sum(1 for client in clients if client.events and client.events[0][1] == "v2")
    record.line(
        f"streams: {STREAMS}, begun at v2: {newer}, complete: {complete},"
        f" of two versions: {joined}"
    )
    if sum(1 for client in clients if client.events) < STREAMS / 2:
        raise Unrunnable("too few streams began")
    if joined > JOINED_LIMIT:
        return f"ORDER: {joined} of {STREAMS} streams hold events of two software versions"
    return None


if __name__ == "__main__":
    main(case, FOLDER)
