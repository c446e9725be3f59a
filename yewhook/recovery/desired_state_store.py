"""The file in which an agent stores the desired state of its instances before it acts on a change."""

from __future__ import annotations

from collections.abc import Callable

from .desired_state import DesiredInstance, DesiredState, pack, unpack
from .files import Files
from .generations import Generations

FILE_NAME = "wanted"


class DesiredStateStore:
    """The desired state, on disk and in memory."""

    def __init__(self, files: Files, log: Callable[[str, str], None]) -> None:
        """Reads the latest undamaged state; `log` writes a log line of an event and its details."""
        self._generations = Generations(files, FILE_NAME)
        self.state = DesiredState()
        for data in self._generations.read():
            try:
                self.state = unpack(data)
            except ValueError as error:
                log("wanted state passed over", f"{error}; trying the one before it")
                continue
            log("wanted state read", f"revision {self.state.revision}, {len(self.state.instances)} orders")
            return

    def write(self, name: str, desired: DesiredInstance) -> None:
        """Changes one instance; the change is durable on return.

        Raises OSError, and then the state in memory is unchanged.
        """
        state = self.state.change(name, desired)
        if state is not self.state:
            self._generations.write_synchronously(pack(state))
            self.state = state
