"""Two operators at once: one upgrades a router, the other shuts the agent down."""

from __future__ import annotations

import json
import os
import socket
import sys
import threading
import time

import standins
from standins import BROKEN, HELD, HOST, NOT_RUN, Client, Stage, Worker, call, wait_for

TOKENS = 24  # an answer takes about 1.6 s
EVERY_S = 0.1  # between two requests
GRACE_S = 20  # as in deploy/fleet.toml


def ask_agent(port: int, method: str, **params: object) -> dict:
    """Call the agent; returns its message."""
    with socket.create_connection((HOST, port), timeout=15.0) as sock:
        call_text = json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": params})
        sock.sendall(call_text.encode() + b"\n")
        return json.loads(sock.makefile("rb").readline())


def run(folder: str) -> int:
    """Play the case."""
    stage = Stage(folder, standins.lj_davki(instances=1))
    note = stage.record.note
    for number in range(2):
        stage.add_worker(Worker(stage.fleet, f"reader-{number}", "prefill"))
        stage.add_worker(Worker(stage.fleet, f"writer-{number}", "decode", tokens=TOKENS))
    config = stage.config("n1")
    port, agent_port = int(config["listen"].rpartition(":")[2]), standins.free_port()
    (stage.folder / "n1.json").write_text(json.dumps(config))
    fleet = stage.folder / "fleet.toml"
    fleet.write_text(
        f'[agent]\nlisten = "{HOST}:{agent_port}"\nrecords = "routers.zone"\ndomain = "routers.example."\n'
        f'service = "_yewhook._tcp"\ngrace_s = {GRACE_S}\n[[instance]]\nname = "n1"\nconfig = "n1.json"\n'
    )
    with (stage.folder / "agent.log").open("wb") as log:
        command = [sys.executable, "-m", "yewhook", "agent", str(fleet)]
        agent = standins.spawn(command, os.environ | {"TMPDIR": str(stage.folder)}, log)
    stop = threading.Event()
    answers: dict[str, standins.Answer] = {}
    refused_connections = [0]
    says_no_since: list[float] = []
    threads: list[threading.Thread] = []

    def ask() -> None:
        request_id, answer = Client(stage.record, port, "vprasanje", "biro-kovacic", 4000).ask()
        if answer.error and not answer.status and "refused" in answer.error:
            refused_connections[0] += 1  # nobody took it
        else:
            answers[request_id] = answer

    def front() -> None:
        """Ask for the router's health every 0.1 s."""
        while not stop.is_set():
            if call(port, "GET", "/healthz", timeout=0.3) == 200:
                if says_no_since:
                    note("front: /healthz says yes again")
                says_no_since.clear()
            elif not says_no_since:
                says_no_since.append(note("front: /healthz says no"))
            time.sleep(0.1)

    def clients() -> None:
        """New connections keep coming for 0.2 s after the first no."""
        while not stop.is_set():
            if not says_no_since or stage.record.now < says_no_since[0] + 0.2:
                threads.append(standins.in_thread(ask))
            time.sleep(EVERY_S)

    try:
        if not wait_for(lambda: call(port, "GET", "/healthz") == 200, 15.0):
            return stage.close(NOT_RUN, "the router did not become ready")
        time.sleep(1.5)
        standins.in_thread(front)
        standins.in_thread(clients)
        time.sleep(2.0)

        def upgrade() -> None:
            note("operator A: upgrade n1")
            note(f"operator A: answer {ask_agent(agent_port, 'agent/upgrade', name='n1', by='A')}")

        upgrading = standins.in_thread(upgrade)
        if standins.TROUBLE:  # the second operator gives an order while the first one's is carried out
            time.sleep(0.2)
        else:
            upgrading.join(15.0)
        note("operator B: shutdown")
        note(f"operator B: answer {ask_agent(agent_port, 'agent/shutdown')}")
        ended = wait_for(lambda: agent.poll() is not None, GRACE_S + 10.0)
        note(f"the agent has {'ended' if ended else 'not ended'}")
        stop.set()
        time.sleep(1.0)
        for thread in threads:
            thread.join(10.0)
    finally:
        stop.set()
        if agent.poll() is None:
            agent.terminate()
            if not wait_for(lambda: agent.poll() is not None, GRACE_S + 10.0):
                agent.kill()
    # Lost: cut while the worker still wrote. What was killed before its first event is left out: the page
    # excuses the first request on a connection that ends without anything having been sent on it.
    lost = [one for one, answer in answers.items() if answer.status == 200 and not answer.whole]
    note(f"{len(answers)} requests taken, {refused_connections[0]} connections refused, lost: {lost}")
    if not ended:
        return stage.close(NOT_RUN, "the agent did not end in time")
    if lost:
        return stage.close(
            BROKEN,
            f"rule broken: {len(lost)} of {len(answers)} requests were cut off in the midst of their answers",
        )
    return stage.close(HELD, f"rule held: none of {len(answers)} answers was cut off")


standins.main(run)
