"""hopshed: placement, admission and failure decisions of a router for split language-model servers.

`Controller.handle` takes events and the time, and returns actions. The package keeps no clock; only `simhost`
does I/O.
"""

from .control import Controller
from .interface import Settings

__all__ = ["Controller", "Settings"]
