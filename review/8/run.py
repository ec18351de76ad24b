"""A machine freezes while servers of another software version are added; clients take the
streams that it held up at the other machines."""

import os
import signal
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
OLD_SERVERS = 4
NEW_SERVERS = 1
STREAMS = 24
NEW_STREAMS = 24
EVENTS = 60
DEADLINE_S = 15.0
RETRIES = 1
FREEZE_S = 4.0
# The rule speaks of 12 streams or more.
LEAST = 12


def case(record, trouble):
    base = loopback_base()
    store = Store(f"{base}.2")
    resumable = {"stream_resume": True, "session_affinity": True}
    routes = [route("r-r", "resume", "streaming", "engine", 15000, 2, **resumable)]
    store.write("keyed.op", "config", config(1, routes))

    def add(number, version):
        server = Server(
            store, record, f"i-{number}", "engine", f"{base}.{100 + number}", version, events=EVENTS
        )
        server.pause_s = 0.1
        return server

    for number in range(OLD_SERVERS):
        add(number, "v1")
    fleet = Fleet(record, store, MACHINES, base)
    clients = []
    new_clients = []
    threads = []

    def begin(client, first, later):
        thread = threading.Thread(target=client.run, args=(first, later))
        thread.start()
        threads.append(thread)

    try:
        fleet.start_all()
        # The machines have found each other and have read all entries.
        time.sleep(4)
        for number in range(STREAMS):
            client = StreamClient(fleet, record, number, DEADLINE_S, RETRIES)
            clients.append(client)
            begin(client, 0, [1, 2])
        time.sleep(1.5)
        frozen_at = time.monotonic()
        if trouble:
            fleet.signal(0, signal.SIGSTOP)
        time.sleep(0.5)
        # A release begins: the new server starts first.
        for number in range(OLD_SERVERS, OLD_SERVERS + NEW_SERVERS):
            add(number, "v2")
        time.sleep(2)
        for number in range(NEW_STREAMS):
            client = StreamClient(fleet, record, STREAMS + number, DEADLINE_S, 0)
            new_clients.append(client)
            begin(client, 1 + number % 2, [])
        time.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
        if trouble:
            fleet.signal(0, signal.SIGCONT)
        for thread in threads:
            thread.join(30)
    finally:
        fleet.end()
    taken_up = [client for client in clients if client.take_ups]
    went_on = [client for client in taken_up if client.went_on]
    begun = [client for client in new_clients if client.events]
    record.line(
        f"taken up: {len(taken_up)}, of these went on: {len(went_on)};"
        f" new streams: {len(new_clients)}, of these began: {len(begun)}"
    )
    if sum(1 for client in clients + new_clients if client.events) < STREAMS:
        raise Unrunnable("too few streams began")
    if len(taken_up) < LEAST:
        return None
    share = len(went_on) / len(taken_up)
    new_share = len(begun) / len(new_clients)
    if share < new_share / 2:
        return (
            f"LOST: {len(went_on)} of {len(taken_up)} streams that were taken up went on,"
            f" {len(begun)} of {len(new_clients)} new streams began"
        )
    return None


if __name__ == "__main__":
    main(case, FOLDER)
