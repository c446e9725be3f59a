"""Connections from workers that are cut within a message, fall quiet for 2 s and go on."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import standins
from standins import BROKEN, HELD, HOST, NOT_RUN, Client, Stage, Worker, call, in_thread, lj_davki, wait_for

REQUESTS = 8
TOKENS = 130  # of an answer, at 60 ms each: 7.8 s; the site says 130 to 230
QUIET_S = 2.0  # a stream may be left waiting for up to 5 s


class Link:
    """A proxy in front of a worker; what it passes on is cut at any byte, and may pause there."""

    def __init__(self, stage: Stage, worker: Worker) -> None:
        self.stage, self.worker = stage, worker
        self._target = (HOST, int(worker.address.rpartition(":")[2]))
        listener = standins.listen()
        self.address = f"{HOST}:{listener.getsockname()[1]}"
        standins.serve(listener, self._relay)

    def _relay(self, near: socket.socket) -> None:
        with socket.create_connection(self._target) as far:
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pump, args=(near, far, False), daemon=True).start()
            self._pump(far, near, True)

    def _pump(self, source: socket.socket, sink: socket.socket, from_worker: bool) -> None:
        events, quiet = 0, False
        try:
            while data := source.recv(65536):
                events += data.count(b'"content"')
                if from_worker and events >= 10 and not quiet and b'"content"' in data:
                    quiet = True
                    half = data.index(b'"content"')  # within a chunk
                    sink.sendall(data[:half])
                    if standins.TROUBLE:
                        note = f"link of {self.worker.name}: quiet for {QUIET_S} s within a message"
                        self.stage.record.note(note)
                        time.sleep(QUIET_S)
                    data = data[half:]
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def run(folder: str) -> int:
    """Play the case."""
    stage = Stage(folder, lj_davki(instances=2))
    for number in range(3):
        stage.add_worker(Worker(stage.fleet, f"reader-{number}", "prefill"))
        writer = Worker(stage.fleet, f"writer-{number}", "decode", tokens=TOKENS)
        stage.add_worker(writer)
        stage.discovery.put(writer.name, hostPort=Link(stage, writer).address)
    routers = [stage.start(stage.config(f"n{number}")) for number in range(2)]
    if not all(wait_for(lambda r=r: call(r.port, "GET", "/healthz") == 200, 15.0) for r in routers):
        return stage.close(NOT_RUN, "a router did not become ready")
    answers: dict[str, standins.Answer] = {}
    lanes = [("vprasanje", 4000), ("vnos-listin", 10000)]

    def ask(number: int) -> None:
        lane, patience_ms = lanes[number % 2]
        client = Client(stage.record, routers[number // 2 % 2].port, lane, "biro-kovacic", patience_ms)
        request_id, answer = client.ask()
        answers[request_id] = answer

    threads = []
    for number in range(REQUESTS):
        threads.append(in_thread(lambda number=number: ask(number)))
        time.sleep(0.2)
    for thread in threads:
        thread.join(40.0)
    time.sleep(1.0)
    if len(answers) < REQUESTS:
        return stage.close(NOT_RUN, "a client got no end of its answer")
    if not any(answer.status == 200 for answer in answers.values()):
        return stage.close(NOT_RUN, "no stream began")
    # Lost: the client's stream was cut although its worker runs and its events still came.
    lost = [one for one, answer in answers.items() if not answer.whole]
    if lost:
        return stage.close(
            BROKEN, f"rule broken: {len(lost)} of {REQUESTS} streams were cut while their events still came"
        )
    return stage.close(HELD, f"rule held: all {REQUESTS} streams were passed on to their end")


standins.main(run)
