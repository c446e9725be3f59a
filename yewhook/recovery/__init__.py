"""Recovery from the loss of a whole fleet: what still holds, who was lost, in which order service returns.

All but `snapshot_store.py` and `files.py` is free of I/O. Nothing of it is imported where recovery is off.
"""
