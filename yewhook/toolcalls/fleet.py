"""The workers that the records name, in discovery's form; looked at again while the process runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hopshed import interface as i

from ..dnssd import Records, RecordsError, ServiceInstance
from ..loop import Loop
from ..worker_list import WorkerList

LOOK_EVERY = 0.5  # s


def entry(instance: ServiceInstance) -> dict[str, Any]:
    texts = instance.texts
    return {
        "instanceId": texts.get("id") or instance.name,
        "hostPort": f"{instance.address[0]}:{instance.address[1]}",
        "zone": texts.get("zone"),
        "machineType": texts.get("kind"),
        "cell": texts.get("cell") or 0,
        "lifecycle": texts.get("state") or "up",
        "weight": texts.get("weight") or 1.0,
        "startedAtMs": texts.get("started") or 0,
    }


class Fleet:
    def __init__(
        self,
        loop: Loop,
        records: Records,
        service: str,
        worker_list: WorkerList,
        listed: Callable[[i.ListKind, tuple[i.Server, ...]], None],
    ) -> None:
        self._loop, self._records, self._service = loop, records, service
        self._worker_list, self._listed = worker_list, listed
        self.looked = loop.now  # when the records were last found good
        self._read(i.ListKind.SAVED)
        loop.after(LOOK_EVERY, self._look)

    def move(self, records: Records, service: str) -> None:
        """Go on with other records."""
        self._records, self._service = records, service
        self._read(i.ListKind.FULL)

    def _look(self) -> None:
        try:
            if self._records.refresh():
                self._read(i.ListKind.FULL)
            self.looked = self._loop.now
        except RecordsError as error:
            self._loop.log("records not understood", str(error))
        self._loop.after(LOOK_EVERY, self._look)

    def _read(self, kind: i.ListKind) -> None:
        entries = [entry(instance) for instance in self._records.browse(self._service)]
        self._listed(kind, self._worker_list.parse({"reset": True, "instances": entries}))
