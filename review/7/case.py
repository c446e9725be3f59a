"""Workers whose streams bring more than belongs to them: a second answer some milliseconds late."""

from __future__ import annotations

import threading
import time
from typing import Any

import rpc
import standins
from standins import BROKEN, HELD, NOT_RUN, Stage, wait_for

CLIENTS, SECONDS = 6, 15.0
LATE_S = 0.005  # from an answer's end to the second answer; the page says some milliseconds


class Writer(rpc.RpcWorker):
    """Streams three events that repeat the request's marker."""

    second_answers = 0

    def chat(self, sock: Any, rpc_id: int, params: dict[str, Any]) -> None:
        """Answer; with the trouble, one answer in ten comes a second time."""
        time.sleep(0.01)
        for number in range(3):
            rpc.send(
                sock, method="notifications/event", params={"event": {"of": params["marker"], "n": number}}
            )
            time.sleep(0.01)
        rpc.send(sock, id=rpc_id, result={"cachedTokens": 0})
        if standins.TROUBLE and rpc_id % 10 == 0:
            time.sleep(LATE_S)
            Writer.second_answers += 1
            self.record.note(f"{self.name}: second answer for {params['marker']}")
            rpc.send(sock, method="notifications/event", params={"event": {"of": params["marker"], "n": 0}})
            rpc.send(sock, id=rpc_id, result={"cachedTokens": 0})


def run(folder: str) -> int:
    """Play the case."""
    settings = rpc.shipped_settings()
    stage = Stage(folder, settings)
    workers = [rpc.RpcReader(stage.record, "reader-1", "prefill"), Writer(stage.record, "writer-1", "decode")]
    text = rpc.zone([worker.records(number, zone="hall-a", cell=1) for number, worker in enumerate(workers)])
    process, port = rpc.start_router(stage, text, settings)
    foreign: list[str] = []
    asked, served, lock = [0], [0], threading.Lock()
    end = time.monotonic() + SECONDS + 3.0

    def client(number: int) -> None:
        connection = rpc.RpcClient(stage.record, port)
        turn = 0
        while time.monotonic() < end:
            turn += 1
            marker = f"c{number}-{turn}"
            events, final = connection.ask(marker)
            of_others = sorted({event["of"] for event in events} - {marker})
            end_of_it, whose = final.get("result") or final.get("error"), [event["of"] for event in events]
            stage.record.note(f"client: {marker} answered {end_of_it}, events of {whose}")
            with lock:
                asked[0] += 1
                served[0] += "result" in final
                foreign.extend(f"{marker} got an event of {other}" for other in of_others)

    try:
        if not wait_for(lambda: rpc.ready(port), 15.0):
            return stage.close(NOT_RUN, "the router did not become ready")
        for thread in rpc.in_parallel(CLIENTS, client):
            thread.join(SECONDS + 30.0)
    finally:
        process.terminate()
        if not wait_for(lambda: process.poll() is not None, 5.0):
            process.kill()
    stage.record.note(f"{asked[0]} asked, {served[0]} served, {Writer.second_answers} second answers sent")
    if served[0] < 50:
        return stage.close(NOT_RUN, f"only {served[0]} requests were served")
    if foreign:
        return stage.close(
            BROKEN,
            f"rule broken: {len(foreign)} of {asked[0]} clients got events of others, first: {foreign[0]}",
        )
    return stage.close(
        HELD, f"rule held: {served[0]} of {asked[0]} requests served, each with its own events"
    )


standins.main(run)
