"""Runs the deploy file's `sim` command on hand-written batches.

Its actions must not depend on how many instances share a process, nor on Python's hash seed.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
ENV = {
    "caps": {"probes": True, "may-cancel": True, "send-cap": 4, "second-copies": False, "unknown": 1},
    "classes": [{"promise-ms": 1000.0, "give-up-ms": 5000.0, "effect": "repeatable", "group": "all"}],
    "contract": {
        "answer-slack-ms": 8.0,
        "cold-from": 0.3,
        "cold-ms": 9000.0,
        "fall-ms": 2000.0,
        "fall-multiple": 2.5,
        "stop-sending-within-ms": 500.0,
    },
    "extra": {
        "kind-role": ["read", "write"],
        "memory-tokens": [200000, 150000],
        "let-go-by-ms": 500.0,
        "aim-us-per-1000-prompt-tokens": [40000.0],
        "token-aim-ms": [60.0],
    },
    "instances": 3,
    "report": {"columns": [], "how": "none"},
    "shapes": ["r", "w"],
    "zones": ["z"],
    "zone": 0,
}
INSTANCES = ["router/0", "router/1", "router/2"]
WORKERS = [
    [None, 11, 1, 0, 0, "Running", 0],
    [None, 12, 1, 0, 0, "Running", 0],
    [None, 21, 1, 0, 0, "Running", 1],
    [None, 22, 1, 0, 0, "Running", 1],
]


def command() -> str:
    """The `sim` command, with this interpreter."""
    sim = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    # Continuous integration has its own virtual environment: only the interpreter's path is replaced.
    return sim.replace(".venv/bin/python", sys.executable)


class Sim:
    """A process that runs the `sim` command."""

    def __init__(self, hash_seed: str) -> None:
        self.proc = subprocess.Popen(
            ["/bin/sh", "-c", command()],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
        )

    def batch(self, now: float, events: list) -> list:
        """Send one batch at a time in milliseconds; the reply lines without the closing one."""
        lines = [["mark", now], *events, ["over-to-you"]]
        self.proc.stdin.write("".join(json.dumps(line) + "\n" for line in lines))
        self.proc.stdin.flush()
        reply = []
        while (line := json.loads(self.proc.stdout.readline())) != ["end"]:
            reply.append(line)
        return reply

    def close(self) -> int:
        """Close the input and wait for the process; its exit status."""
        self.proc.stdin.close()
        code = self.proc.wait(timeout=20)
        self.proc.stdout.close()
        return code


def run_instances(hosted: list[list[str]], hash_seed: str) -> dict[str, list]:
    """Run a short simulation with one process for each list of instances; the actions of each instance."""
    sims = [(names, Sim(hash_seed)) for names in hosted]
    actions: dict[str, list] = {instance: [] for instance in INSTANCES}
    attempts: dict[str, int] = {}
    pending: dict[str, list] = {instance: [] for instance in INSTANCES}
    for step in range(40):
        now = 1000.0 + step * 50.0
        for names, sim in sims:
            events: list = [["directory", 3, WORKERS]] if step == 0 else []
            for instance in names:
                if step == 0:
                    events += [["start", instance, 7, ENV], ["endpoints", instance, "SAVED", 3, 1]]
                events += pending.pop(instance, [])
                if step % 3 == 0:
                    request = f"{instance}:{step}"
                    events.append(
                        [
                            "work-item",
                            instance,
                            request,
                            0,
                            0,
                            f"s{step % 6}",
                            4000.0,
                            None,
                            "p",
                            900,
                            600,
                            99,
                            64,
                        ]
                    )
            for action in sim.batch(now, events):
                instance = action[1]
                actions[instance].append(action)
                next_events = pending.setdefault(instance, [])
                if action[0] == "call-out":
                    attempt = attempts[action[2]] = attempts.get(action[2], -1) + 1
                    is_read = action[3] < 20
                    next_events.append(
                        [
                            "finished",
                            instance,
                            action[2],
                            attempt,
                            action[3],
                            "READ" if is_read else "Ok",
                            50.0,
                            not is_read,
                            0,
                            None,
                        ]
                    )
                elif action[0] == "remind":
                    next_events.append(["fired", instance, action[3]])
    assert [sim.close() for _, sim in sims] == [0] * len(sims)
    return actions


def test_actions_depend_neither_on_processes_nor_on_the_hash_seed():
    one = run_instances([INSTANCES], "1")
    assert one == run_instances([[instance] for instance in INSTANCES], "1")
    assert one == run_instances([INSTANCES], "2")
    for instance in INSTANCES:
        sent = [action for action in one[instance] if action[0] == "call-out"]
        assert len(sent) == 27  # 14 requests; the last one is still being read


def test_stop_drops_pending_events_and_reused_directory_numbers_resolve_in_order():
    sim = Sim("1")
    replacement = [[None, 31, 1, 0, 0, "Running", 0]]
    reply = sim.batch(
        0.0,
        [
            ["directory", 0, WORKERS[:1]],
            ["start", "router/0", 1, ENV],
            ["endpoints", "router/0", "SAVED", 0, 1],
            ["directory", 0, replacement],
            ["start", "router/1", 1, ENV],
            ["endpoints", "router/1", "SAVED", 0, 1],
            *[
                ["work-item", f"router/{n}", f"c:{n}", 0, 0, "s", 900.0, None, None, 9, 0, 9, 0]
                for n in (0, 1)
            ],
        ],
    )
    assert {action[1]: action[3] for action in reply if action[0] == "call-out"} == {
        "router/0": 11,
        "router/1": 31,
    }
    reply = sim.batch(50.0, [["hangup", "router/1", "c:1"], ["stop", "router/1"]])
    assert [action for action in reply if action[1] == "router/1"] == []
    assert sim.close() == 0


def test_invalid_input_is_reported_on_standard_error():
    for text, message in (
        ("nonsense\n", "line 1: expected one JSON array"),
        ('["mark",1]\n["finished","router/0"]\n["over-to-you"]\n', "line 3: expected the values"),
    ):
        env = os.environ | {"PYTHONHASHSEED": "1"}
        done = subprocess.run(
            ["/bin/sh", "-c", command()],
            cwd=ROOT,
            input=text,
            text=True,
            capture_output=True,
            env=env,
            timeout=20,
            check=False,
        )
        assert done.returncode != 0 and message in done.stderr and "Traceback" not in done.stderr


def test_a_failure_of_the_module_is_reported_for_its_instance():
    sim = Sim("1")
    invalid = ENV | {"classes": []}
    (bug,) = sim.batch(0.0, [["start", "router/0", 1, invalid]])
    assert bug[:2] == ["bug", "router/0"] and "class" in bug[2]
    sim.close()
