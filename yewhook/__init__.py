"""yewhook: a session-aware router on real sockets round the decision module hopshed."""

__version__ = "0.1.0"
