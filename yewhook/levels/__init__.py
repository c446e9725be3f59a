"""Named levels of reduced service: what is observed, which level that calls for, and what the level admits.

Nothing here opens, reads or waits for anything, and no clock is kept: all comes in with its time. The
decision module still refuses; it is told the share of turns like the one at hand that there is room for, and
no more.
"""
