"""Where an agent writes down what operators want, before it obeys."""

from __future__ import annotations

from collections.abc import Callable

from .desired_state import DesiredInstance, DesiredState, pack, unpack
from .files import Files
from .generations import Generations

NAME = "wanted"


class DesiredStateStore:
    def __init__(self, files: Files, say: Callable[[str, str], None]) -> None:
        """`say` = a line of the log."""
        self._generations = Generations(files, NAME)
        self.state = DesiredState()
        for data in self._generations.read():
            try:
                self.state = unpack(data)
            except ValueError as error:
                say("wanted state passed over", f"{error}; the one before it is looked at")
                continue
            say("wanted state read", f"revision {self.state.revision}, {len(self.state.instances)} orders")
            return

    def write(self, name: str, wish: DesiredInstance) -> None:
        """It is on the disk when this returns. Raises OSError, and then nothing has changed."""
        wanted = self.state.change(name, wish)
        if wanted is not self.state:
            self._generations.write_whole(pack(wanted))
            self.state = wanted
