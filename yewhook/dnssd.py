"""Services found and published as DNS-SD records (RFC 6763) in a DNS master file (RFC 1035)."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import dns.exception
import dns.name
import dns.rdataclass
import dns.rdatatype
import dns.zone
from dns.rdtypes.ANY.PTR import PTR
from dns.rdtypes.ANY.TXT import TXT
from dns.rdtypes.IN.A import A
from dns.rdtypes.IN.SRV import SRV

from .config import Address


class RecordsError(Exception):
    """What is wrong with a file of records, for the person who wrote it."""


@dataclass(frozen=True, slots=True)
class ServiceInstance:
    """One instance of a service: its PTR, SRV and TXT records, and the address that its target has."""

    name: str  # the instance's label, as people read it
    address: Address
    priority: int = 0
    weight: int = 0
    texts: dict[str, str] = field(default_factory=dict)


class Records:
    """The records of one domain, read anew when the file has changed."""

    def __init__(self, path: Path, domain: str) -> None:
        self.path, self.domain = path, domain
        self._stamp: tuple[int, int] | None = None
        self._zone = self._read()

    def refresh(self) -> bool:
        """Whether the file had changed; a bad one raises RecordsError, and the old records stay."""
        if self._stamp == self._stamp_now():
            return False
        self._zone = self._read()
        return True

    def _stamp_now(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size

    def _read(self) -> dns.zone.Zone:
        self._stamp = self._stamp_now()
        try:
            text = self.path.read_text()
            return dns.zone.from_text(text, origin=self.domain, relativize=False, check_origin=False)
        except (OSError, UnicodeDecodeError, dns.exception.DNSException) as error:
            raise RecordsError(f"{self.path}: {error}") from error

    def browse(self, service: str) -> list[ServiceInstance]:
        """The instances that the PTR records of a service name, in order of their names."""
        owner = dns.name.from_text(f"{service}.{self.domain}")
        found = []
        for pointer in self._all(owner, dns.rdatatype.PTR):
            assert isinstance(pointer, PTR)
            found += self._resolve(pointer.target)
        return sorted(found, key=lambda instance: (instance.name, instance.address))

    def _all(self, owner: dns.name.Name, kind: dns.rdatatype.RdataType) -> Iterable[object]:
        try:
            return self._zone.get_rdataset(owner, kind) or ()
        except KeyError:
            return ()

    def _resolve(self, owner: dns.name.Name) -> list[ServiceInstance]:
        texts: dict[str, str] = {}
        for text in self._all(owner, dns.rdatatype.TXT):
            assert isinstance(text, TXT)
            for raw in text.strings:
                key, _, value = raw.decode("utf-8", "replace").partition("=")
                if key:  # of a repeated key the first counts, and one without a name is none (6.4)
                    texts.setdefault(key.lower(), value)
        name = owner.labels[0].decode("utf-8", "replace")
        found = []
        for service in self._all(owner, dns.rdatatype.SRV):
            assert isinstance(service, SRV)
            for host in self._all(service.target, dns.rdatatype.A):
                assert isinstance(host, A)
                place = (host.address, service.port)
                found.append(ServiceInstance(name, place, service.priority, service.weight, texts))
        return found


def order_instances(instances: Iterable[ServiceInstance], rng: random.Random) -> list[ServiceInstance]:
    """The order in which to try instances: by priority, by chance in proportion to weight (RFC 2782)."""
    left, order = sorted(instances, key=lambda s: (s.priority, s.weight != 0)), []
    while left:
        first = [s for s in left if s.priority == left[0].priority]
        draw = rng.uniform(0, sum(s.weight for s in first))
        for chosen in first:
            draw -= chosen.weight
            if draw <= 0:
                break
        left.remove(chosen)
        order.append(chosen)
    return order


def _quoted(text: str) -> str:
    raw = "".join(chr(b) if 32 <= b < 127 and chr(b) not in '"\\' else f"\\{b:03d}" for b in text.encode())
    return f'"{raw}"'


def master_file(domain: str, service: str, instances: Iterable[ServiceInstance], ttl: int = 10) -> str:
    """The records that publish a service's instances. RFC 6763 asks for a TXT record even if it is empty."""
    domain = domain.rstrip(".") + "."
    lines = [f"$ORIGIN {domain}", f"$TTL {ttl}", f"_services._dns-sd._udp IN PTR {service}.{domain}"]
    stem = service.partition(".")[0].strip("_")
    for number, instance in enumerate(instances):
        label = dns.name.Name([instance.name.encode()]).to_text()
        owner, host = f"{label}.{service}.{domain}", f"{stem}-{number}.{domain}"
        texts = " ".join(_quoted(f"{key}={value}") for key, value in instance.texts.items()) or '""'
        lines += [
            f"{service}.{domain} IN PTR {owner}",
            f"{owner} IN SRV {instance.priority} {instance.weight} {instance.address[1]} {host}",
            f"{owner} IN TXT {texts}",
            f"{host} IN A {instance.address[0]}",
        ]
    return "\n".join(lines) + "\n"
