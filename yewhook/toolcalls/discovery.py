"""Worker discovery from DNS-SD records, read again when their file changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hopshed import interface

from ..dnssd import Records, RecordsError, ServiceInstance
from ..loop import Loop
from ..worker_list import WorkerList

REFRESH_INTERVAL_S = 0.5


def discovery_entry(instance: ServiceInstance) -> dict[str, Any]:
    """An instance in the form of an entry of the platform's discovery."""
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


class RecordsDiscovery:
    """Passes the workers that the records name to `listed`, at the start and after each change."""

    def __init__(
        self,
        loop: Loop,
        records: Records,
        service: str,
        worker_list: WorkerList,
        listed: Callable[[interface.ListKind, tuple[interface.Server, ...]], None],
    ) -> None:
        self._loop, self._records, self._service = loop, records, service
        self._worker_list, self._listed = worker_list, listed
        self.checked_at = loop.now  # when the records were last checked without an error
        self._publish(interface.ListKind.SAVED)
        loop.after(REFRESH_INTERVAL_S, self._refresh)

    def use_records(self, records: Records, service: str) -> None:
        """Continue with other records or another service name."""
        self._records, self._service = records, service
        self._publish(interface.ListKind.FULL)

    def _refresh(self) -> None:
        try:
            if self._records.refresh():
                self._publish(interface.ListKind.FULL)
            self.checked_at = self._loop.now
        except RecordsError as error:
            self._loop.log("records not understood", str(error))
        self._loop.after(REFRESH_INTERVAL_S, self._refresh)

    def _publish(self, kind: interface.ListKind) -> None:
        entries = [discovery_entry(instance) for instance in self._records.browse(self._service)]
        self._listed(kind, self._worker_list.parse({"reset": True, "instances": entries}))
