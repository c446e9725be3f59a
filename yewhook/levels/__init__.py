"""Graceful degradation: named levels of reduced service, the signals that select one, and what it admits.

The package does no I/O and reads no clock: each call is given its events and the current time. The decision
module still refuses requests itself; it is told only which share of the turns like an arriving one to admit.
"""
