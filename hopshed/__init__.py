"""hopshed: placement, admission and failure decisions of a router for split language-model servers.

The decisions are pure functions of events and time: `Controller.handle` takes events and returns actions.
"""

from .control import Controller
from .interface import Settings

__all__ = ["Controller", "Settings"]
