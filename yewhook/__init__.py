"""yewhook: a session-aware router for language-model servers, built on the decision module hopshed."""

__version__ = "0.1.0"
