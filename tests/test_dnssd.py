"""Reading, writing and ordering of DNS-SD records."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from yewhook.dnssd import Records, RecordsError, ServiceInstance, master_file, order_instances


def test_published_records_can_be_browsed(tmp_path: Path) -> None:
    # Dots and spaces in a label and quotes in texts need escapes in a master file.
    instances = [
        ServiceInstance("Lift desk v1.2", ("127.0.0.1", 7001), 1, 5, {"tools": 'a,b "c"', "note": "été"}),
        ServiceInstance("plain", ("127.0.0.2", 7002)),
    ]
    path = tmp_path / "zone"
    path.write_text(master_file("d.test.", "_tool._tcp", instances))
    records = Records(path, "d.test.")
    assert records.browse("_tool._tcp") == instances
    assert records.browse("_other._tcp") == []


def test_a_changed_file_is_read_again_and_an_invalid_one_keeps_the_old_records(tmp_path: Path) -> None:
    path = tmp_path / "zone"
    path.write_text(master_file("d.test.", "_t._tcp", [ServiceInstance("a", ("127.0.0.1", 1))]))
    records = Records(path, "d.test.")
    assert not records.refresh()
    path.write_text("nonsense\n")
    with pytest.raises(RecordsError, match="zone"):
        records.refresh()
    assert [s.name for s in records.browse("_t._tcp")] == ["a"]
    path.write_text("; empty\n")
    assert records.refresh() and records.browse("_t._tcp") == []


def test_an_instance_without_an_address_record_is_not_listed(tmp_path: Path) -> None:
    path = tmp_path / "zone"
    path.write_text("$TTL 5\n_t._tcp IN PTR a._t._tcp\na._t._tcp IN SRV 0 0 1 nowhere\n")
    assert Records(path, "d.test.").browse("_t._tcp") == []


def test_servers_are_tried_by_priority_then_by_weight() -> None:
    def service(name: str, priority: int, weight: int) -> ServiceInstance:
        return ServiceInstance(name, ("127.0.0.1", 1), priority, weight)

    heavy, light, spare = service("heavy", 0, 9), service("light", 0, 1), service("spare", 1, 9)
    orders = [order_instances([spare, light, heavy], random.Random(n)) for n in range(200)]
    assert all(order[2] is spare and len(order) == 3 for order in orders)
    assert 150 < sum(order[0] is heavy for order in orders) < 198
