"""Reads and writes DNS-SD records (RFC 6763) in DNS master files (RFC 1035)."""

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
    """A file of records cannot be read or parsed; the message is for its author."""


@dataclass(frozen=True, slots=True)
class ServiceInstance:
    """One instance of a service, with the contents of its SRV and TXT records and its address."""

    name: str  # label of the instance, unescaped
    address: Address
    priority: int = 0  # lower values are tried first
    weight: int = 0  # share of the choice within a priority
    texts: dict[str, str] = field(default_factory=dict)  # TXT record; keys in lower case


class Records:
    """The records of one domain, read from a master file.

    The constructor and `refresh` raise RecordsError.
    """

    def __init__(self, path: Path, domain: str) -> None:
        self.path, self.domain = path, domain
        self._file_version: tuple[int, int] | None = None
        self._zone = self._read()

    def refresh(self) -> bool:
        """Read the file again if it has changed; returns whether it had.

        An invalid file raises RecordsError, and the old records stay.
        """
        if self._file_version == self._current_file_version():
            return False
        self._zone = self._read()
        return True

    def _current_file_version(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def _read(self) -> dns.zone.Zone:
        self._file_version = self._current_file_version()
        try:
            text = self.path.read_text()
            return dns.zone.from_text(text, origin=self.domain, relativize=False, check_origin=False)
        except (OSError, UnicodeDecodeError, dns.exception.DNSException) as error:
            raise RecordsError(f"{self.path}: {error}") from error

    def browse(self, service: str) -> list[ServiceInstance]:
        """The instances listed by the PTR records of a service, ordered by name."""
        owner = dns.name.from_text(f"{service}.{self.domain}")
        instances = []
        for pointer in self._rdataset(owner, dns.rdatatype.PTR):
            assert isinstance(pointer, PTR)
            instances += self._resolve(pointer.target)
        return sorted(instances, key=lambda instance: (instance.name, instance.address))

    def _rdataset(self, owner: dns.name.Name, kind: dns.rdatatype.RdataType) -> Iterable[object]:
        try:
            return self._zone.get_rdataset(owner, kind) or ()
        except KeyError:
            return ()

    def _resolve(self, owner: dns.name.Name) -> list[ServiceInstance]:
        texts: dict[str, str] = {}
        for text in self._rdataset(owner, dns.rdatatype.TXT):
            assert isinstance(text, TXT)
            for raw in text.strings:
                key, _, value = raw.decode("utf-8", "replace").partition("=")
                if (
                    key
                ):  # RFC 6763, 6.4: entries without a key are ignored, and the first of equal keys counts
                    texts.setdefault(key.lower(), value)
        name = owner.labels[0].decode("utf-8", "replace")
        instances = []
        for service in self._rdataset(owner, dns.rdatatype.SRV):
            assert isinstance(service, SRV)
            for host in self._rdataset(service.target, dns.rdatatype.A):
                assert isinstance(host, A)
                address = (host.address, service.port)
                instances.append(ServiceInstance(name, address, service.priority, service.weight, texts))
        return instances


def order_instances(instances: Iterable[ServiceInstance], rng: random.Random) -> list[ServiceInstance]:
    """The order in which to try instances: by priority, then at random in proportion to weight (RFC 2782)."""
    remaining, ordered = sorted(instances, key=lambda s: (s.priority, s.weight != 0)), []
    while remaining:
        candidates = [s for s in remaining if s.priority == remaining[0].priority]
        draw = rng.uniform(0, sum(s.weight for s in candidates))
        for chosen in candidates:
            draw -= chosen.weight
            if draw <= 0:
                break
        remaining.remove(chosen)
        ordered.append(chosen)
    return ordered


def _quote(text: str) -> str:
    raw = "".join(chr(b) if 32 <= b < 127 and chr(b) not in '"\\' else f"\\{b:03d}" for b in text.encode())
    return f'"{raw}"'


def master_file(domain: str, service: str, instances: Iterable[ServiceInstance], ttl: int = 10) -> str:
    """A master file that publishes the instances of a service; `ttl` in seconds.

    RFC 6763 requires a TXT record even if it is empty.
    """
    domain = domain.rstrip(".") + "."
    lines = [f"$ORIGIN {domain}", f"$TTL {ttl}", f"_services._dns-sd._udp IN PTR {service}.{domain}"]
    stem = service.partition(".")[0].strip("_")
    for number, instance in enumerate(instances):
        label = dns.name.Name([instance.name.encode()]).to_text()
        owner, host = f"{label}.{service}.{domain}", f"{stem}-{number}.{domain}"
        texts = " ".join(_quote(f"{key}={value}") for key, value in instance.texts.items()) or '""'
        lines += [
            f"{service}.{domain} IN PTR {owner}",
            f"{owner} IN SRV {instance.priority} {instance.weight} {instance.address[1]} {host}",
            f"{owner} IN TXT {texts}",
            f"{host} IN A {instance.address[0]}",
        ]
    return "\n".join(lines) + "\n"
