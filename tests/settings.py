"""The settings of the tests, in the form in which a router receives them."""

from typing import Any

ENV: dict[str, Any] = {
    "caps": {"may-cancel": True, "max-retry-after-ms": 500.0, "retry-after": True, "send-cap": 4},
    "classes": [
        {"name": "fault-lookup", "effect": "repeatable", "promise-ms": 2000.0, "give-up-ms": 10000.0,
         "worth": 2.0, "late-worth": 0.1, "group": "all", "dedup-window-ms": 5000.0},
        {"name": "service-log", "effect": "once", "promise-ms": 2500.0, "give-up-ms": 12000.0,
         "worth": 5.0, "late-worth": 0.3, "group": "all", "dedup-window-ms": 5000.0},
    ],
    "contract": {"answer-slack-ms": 16.0, "cold-from": 0.25, "cold-ms": 13000.0, "fall-ms": 1000.0,
                 "fall-multiple": 2.5, "stop-sending-within-ms": 1000.0},
    "customers": [{"name": "acme", "share": 1.0}],
    "extra": {"kind-role": ["read", "write", "both"], "let-go-by-ms": 1000.0, "resume": True,
              "memory-tokens": [270000, 150000, 260000], "token-aim-ms": [70.0, 80.0],
              "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0]},
    "instances": 1,
    "report": {"columns": ["avg_ms", "x0", "x1"], "how": "answers"},
    "shapes": ["prefill", "decode", "mixed"],
    "zone": 0,
    "zones": ["hall-a"],
}  # fmt: skip
