"""A planned restart of one of two routers while streams run, where clients don't ask for the rest."""

from __future__ import annotations

import signal
import time

import standins
from standins import BROKEN, HELD, NOT_RUN, Client, Stage, Worker, call, in_thread, lj_davki, wait_for

REQUESTS = 8
TOKENS = 170  # of an answer, at 60 ms each: 10.2 s; the site says 130 to 230
KILL_AFTER_S = 15.0  # from SIGTERM to SIGKILL; the page says 3.7 s at the earliest


def run(folder: str) -> int:
    """Play the case."""
    stage = Stage(folder, lj_davki(instances=2))
    for number in range(3):
        stage.add_worker(Worker(stage.fleet, f"reader-{number}", "prefill"))
        stage.add_worker(Worker(stage.fleet, f"writer-{number}", "decode", tokens=TOKENS))
    routers = [stage.start(stage.config(f"n{number}")) for number in range(2)]
    if not all(wait_for(lambda r=r: call(r.port, "GET", "/healthz") == 200, 15.0) for r in routers):
        return stage.close(NOT_RUN, "a router did not become ready")

    answers: dict[str, standins.Answer] = {}
    lanes = [("vprasanje", 4000), ("vnos-listin", 10000)]

    def ask(lane: str, patience_ms: int) -> None:
        request_id, answer = Client(stage.record, routers[0].port, lane, "biro-kovacic", patience_ms).ask()
        answers[request_id] = answer

    threads = []
    for number in range(REQUESTS):
        threads.append(in_thread(lambda number=number: ask(*lanes[number % 2])))
        time.sleep(0.2)
    if not wait_for(lambda: len(stage.fleet.last_event) == REQUESTS, 5.0):
        return stage.close(NOT_RUN, "not every stream began")
    time.sleep(0.5)
    if standins.TROUBLE:
        routers[0].signal(signal.SIGTERM)
        term = time.monotonic()
    for thread in threads:
        thread.join(20.0)
    if standins.TROUBLE:
        exited = wait_for(
            lambda: routers[0].process.poll() is not None, term + KILL_AFTER_S - time.monotonic()
        )
        stage.record.note(f"router n0 {'exited by itself' if exited else 'still runs and is killed'}")
    # Lost: the stream was cut before SIGKILL while its running worker still wrote its events.
    lost = [one for one, answer in answers.items() if not answer.whole and answer.status == 200]
    unanswered = [one for one, answer in answers.items() if answer.status == 0]
    if len(answers) < REQUESTS:
        return stage.close(NOT_RUN, "a client got no end of its answer")
    if lost or unanswered:
        return stage.close(
            BROKEN,
            f"rule broken: {len(lost)} of {REQUESTS} streams were cut while their workers still wrote, "
            f"{len(unanswered)} requests had no answer",
        )
    return stage.close(HELD, f"rule held: all {REQUESTS} streams were passed on to their end")


standins.main(run)
