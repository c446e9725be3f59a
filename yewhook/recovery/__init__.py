"""Recovery from a power loss of the whole fleet: snapshots, trust in sources, phases and admission.

Only `snapshot_store.py` and `files.py` do I/O. The package is not imported where the recovery is off.
"""
