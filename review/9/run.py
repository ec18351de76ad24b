"""A part of prompts crashes the servers while few other requests come."""

import os
import random
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
SERVERS = 4
DAY_S = 60
DEADLY_PART = "dead01"
DEADLY_EVERY_S = 2.5
SOUND_EVERY_S = float(os.environ.get("SOUND_EVERY_S", "6.0"))
DOWN_S = 2.0
STABLE_S = 3.0
FIRST_CRASHES = 5
# The rule allows three such requests.
LIMIT = 3


class FragileServer(Server):
    """Crashes when it begins to write an answer to a prompt with the deadly part."""

    is_fragile = True

    def serve(self, connection, line, headers, body, version):
        parts = headers.get("prompt-prefix", "").split(",")[:-1]
        if not any(part.split(":")[0] == DEADLY_PART for part in parts):
            super().serve(connection, line, headers, body, version)
            return
        request = headers["request-id"]
        now = time.monotonic()
        self.deadly.append((now, request))
        self.record.line(f"server {self.name} gets {request} with the deadly part")
        if not self.is_fragile:
            super().serve(connection, line, headers, body, version)
            return
        # It reads the prompt, sends the head and crashes before the first event.
        time.sleep(0.06)
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: s.{request}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        connection.sendall(head.encode())
        time.sleep(0.02)
        if self.alive:
            self.crashes.append(time.monotonic())
            self.stop()
            threading.Thread(target=self.come_back, daemon=True).start()

    def come_back(self):
        time.sleep(DOWN_S)
        self.restart(self.version)
        self.beat()


def send(fleet, record, number, parts, answers):
    request = request_id()
    machine = random.randrange(MACHINES)
    kind = "deadly" if DEADLY_PART in parts else "sound"
    more = (
        "Model: m\r\nToken-Counts: 700,150\r\n"
        f"Prompt-Prefix: {parts},{number + 1:x}:100\r\n"
    )
    began = time.monotonic()
    record.line(f"client sends {request} ({kind}) to {fleet.names[machine]}")
    try:
        answer = Client.exchange(
            (fleet.addresses[machine], 8227),
            post("/plan/x", request, 15000, more, body=b"body %d" % number),
            15,
        )
    except OSError as error:
        record.line(f"{request}: {error}")
        return
    record.line(
        f"{request} ({kind}): status {answer.status}, {len(answer.events())} events,"
        f" complete={answer.complete} {answer.body[:30] if answer.status != 200 else answer.fault}"
    )
    answers.append((began, request, kind, answer))


def case(record, trouble):
    base = loopback_base()
    store = Store(f"{base}.2")
    routes = [route("r-p", "plan", "streaming", "engine", 15000, 1, session_affinity=True)]
    store.write("keyed.op", "config", config(1, routes))
    FragileServer.is_fragile = trouble
    FragileServer.deadly = []
    FragileServer.crashes = []
    for number in range(SERVERS):
        server = FragileServer(store, record, f"i-{number}", "engine", f"{base}.{100 + number}")
        server.events = 50
        server.pause_s = 0.1
    fleet = Fleet(record, store, MACHINES, base)
    answers = []
    try:
        fleet.start_all()
        time.sleep(4)
        began = time.monotonic()
        next_deadly = began + 1
        next_sound = began
        number = 0
        while time.monotonic() < began + DAY_S:
            number += 1
            now = time.monotonic()
            parts = None
            if now >= next_deadly:
                next_deadly += DEADLY_EVERY_S
                parts = f"5c1e07a2:300,{DEADLY_PART}:300"
            elif now >= next_sound:
                next_sound += SOUND_EVERY_S
                parts = f"5c1e07a2:300,{0xa000 + number % 4:x}:300"
            if parts:
                threading.Thread(
                    target=send, args=(fleet, record, number, parts, answers), daemon=True
                ).start()
            time.sleep(0.02)
        time.sleep(6)
    finally:
        fleet.end()
    crashes = sorted(FragileServer.crashes)
    late = []
    if len(crashes) >= FIRST_CRASHES:
        since = crashes[FIRST_CRASHES - 1] + STABLE_S
        late = [request for at, request in FragileServer.deadly if at > since]
    sound = [answer for _at, _request, kind, answer in answers if kind == "sound"]
    cut = [answer for answer in sound if answer.status == 200 and not answer.complete]
    record.line(
        f"crashes: {len(crashes)}, deadly requests at servers: {len(FragileServer.deadly)},"
        f" later than {STABLE_S} s after the fifth crash: {len(late)};"
        f" sound requests: {len(sound)}, cut in the middle by a crash: {len(cut)}"
    )
    if sum(answer.status == 200 for answer in sound) < DAY_S / SOUND_EVERY_S / 2:
        raise Unrunnable("too few requests were served")
    if len(late) > LIMIT:
        return (
            f"BUDGET: {len(late)} requests with the deadly part reached servers later than"
            f" the stable window after the fifth crash; {len(cut)} of {len(sound)} sound"
            " streams were cut by crashes"
        )
    return None


if __name__ == "__main__":
    main(case, FOLDER)
