"""The resources in force, with indexes by service and token."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import sys
from typing import Any

import msgpack

from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources

Key = tuple[resources.Kind, str]

_INTERNED_FIELDS = ("service", "domain", "model", "model_version")


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A resource in force.

    Attributes:
        generation: Log offset of the last change plus one; increases with
            each change.
        resource: The resource.
        extra_packed: Unknown fields of newer versions, in msgpack; empty if
            there are none.
    """

    generation: int
    resource: resources.Resource
    extra_packed: bytes = b""

    @classmethod
    def from_body(
        cls, generation: int, decoded_body: resource_codec.DecodedBody
    ) -> Entry:
        """Creates an entry from a decoded body."""
        packed = (
            records.pack_body(decoded_body.extra) if decoded_body.extra else b""
        )
        return cls(generation, decoded_body.resource, packed)

    def body(self) -> dict[str, Any]:
        """Returns the body, including fields of newer versions."""
        extra = msgpack.unpackb(self.extra_packed) if self.extra_packed else {}
        return resource_codec.dump_with_extra(self.resource, extra)

    def packed_body(self) -> bytes:
        """Returns the body in its canonical encoding."""
        return records.pack_body(self.body())


class Entries:
    """All entries, by kind and name.

    The indexes are updated with each change, so that requests don't scan all
    endpoints or accounts.
    """

    def __init__(self) -> None:
        self._by_kind: dict[resources.Kind, dict[str, Entry]] = {
            kind: {} for kind in resources.Kind
        }
        self._by_service: dict[str, dict[str, Entry]] = {}
        self._sorted_endpoints: dict[str, tuple[resources.Endpoint, ...]] = {}
        self._by_token: dict[tuple[resources.Kind, str], str] = {}
        self._shared_capabilities: dict[
            resources.Capabilities, resources.Capabilities
        ] = {}

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._by_kind.values())

    def __iter__(self) -> Iterator[tuple[Key, Entry]]:
        """Iterates over all entries, sorted by kind and name."""
        for kind in resources.Kind:
            for entry in self.of_kind(kind):
                yield (kind, entry.resource.name), entry

    def get(self, key: Key) -> Entry | None:
        """Returns an entry; ``None`` if it does not exist."""
        return self._by_kind[key[0]].get(key[1])

    def of_kind(self, kind: resources.Kind) -> list[Entry]:
        """Returns all entries of a kind, sorted by name."""
        entries_by_name = self._by_kind[kind]
        return [entries_by_name[name] for name in sorted(entries_by_name)]

    def endpoints_of(self, service: str) -> tuple[resources.Endpoint, ...]:
        """Returns the endpoints of a service, sorted by name."""
        endpoints = self._sorted_endpoints.get(service)
        if endpoints is None:
            entries_by_name = self._by_service.get(service, {})
            endpoints = tuple(
                entry.resource
                for _, entry in sorted(entries_by_name.items())
                if isinstance(entry.resource, resources.Endpoint)
            )
            if entries_by_name:
                self._sorted_endpoints[service] = endpoints
        return endpoints

    def find_token_owner(
        self, kind: resources.Kind, token_sha256: str
    ) -> str | None:
        """Returns the name of the account or operator that owns a token."""
        return self._by_token.get((kind, token_sha256))

    def put(self, key: Key, entry: Entry) -> None:
        """Adds or replaces an entry."""
        self.remove(key)
        self._deduplicate_values(entry.resource)
        kind = key[0]
        name = entry.resource.name
        self._by_kind[kind][name] = entry
        match entry.resource:
            case resources.Endpoint(service=service):
                self._by_service.setdefault(service, {})[name] = entry
                self._sorted_endpoints.pop(service, None)
            case resources.Account(token_sha256=token):
                self._by_token[kind, token] = name
            case resources.Operator(token_sha256=token):
                self._by_token[kind, token] = name

    def remove(self, key: Key) -> None:
        """Removes an entry if it exists."""
        kind, name = key
        entry = self._by_kind[kind].pop(name, None)
        if entry is None:
            return
        match entry.resource:
            case resources.Endpoint(service=service):
                self._remove_from_service(service, name)
            case resources.Account(token_sha256=token):
                self._by_token.pop((kind, token), None)
            case resources.Operator(token_sha256=token):
                self._by_token.pop((kind, token), None)

    def _remove_from_service(self, service: str, name: str) -> None:
        entries_by_name = self._by_service[service]
        del entries_by_name[name]
        if not entries_by_name:
            del self._by_service[service]
        self._sorted_endpoints.pop(service, None)

    def _deduplicate_values(self, resource: resources.Resource) -> None:
        # Endpoints share few distinct services, domains and models; keeping
        # one copy of each saves memory.
        if not isinstance(resource, resources.Endpoint):
            return
        for field in _INTERNED_FIELDS:
            interned = sys.intern(getattr(resource, field))
            object.__setattr__(resource, field, interned)
        capabilities = self._shared_capabilities.setdefault(
            resource.capabilities, resource.capabilities
        )
        object.__setattr__(resource, "capabilities", capabilities)
