"""The registered entries, as an entry's copy of the store shows them."""

from collections.abc import Iterator, Mapping

from apricotpath.config import Address
from apricotpath.entryrecords import EntryRecord, LeaderRecord, RecordReader
from apricotpath.ids import IncarnationId, ProcessId
from apricotpath.store import KeyValue


class EntryRegistry:
    """The entries that are registered in the store; `items` is this entry's copy of it, by key."""

    def __init__(self, items: Mapping[str, KeyValue], prefix: str, entry: ProcessId) -> None:
        self._items, self._prefix = items, prefix
        self.own_key = f"{prefix}{entry}"
        self.records = RecordReader(EntryRecord.parse)

    def own_record(self) -> EntryRecord | None:
        """Return this entry's registration."""
        return self.records.read(self._items.get(self.own_key))

    def peers(self) -> Iterator[tuple[ProcessId, EntryRecord]]:
        """Yield the names and registrations of the other entries."""
        for key, item in self._items.items():
            if key.startswith(self._prefix) and key != self.own_key:
                record = self.records.read(item)
                if record is not None:
                    yield ProcessId(key.removeprefix(self._prefix)), record

    def addresses(self) -> dict[ProcessId, Address]:
        """Return the addresses of the other entries."""
        return {name: record.address for name, record in self.peers()}

    def cores(self) -> dict[ProcessId, float]:
        """Return the processors of the other entries."""
        return {name: record.cores for name, record in self.peers()}

    def has_non_draining_peer(self) -> bool:
        """Tell whether another entry is not shutting down."""
        return any(not record.draining for _, record in self.peers())

    def has_peer_with_more_cores(self, cores: float) -> bool:
        """Tell whether an entry with more processors is registered and not shutting down."""
        return any(record.cores > cores and not record.draining for _, record in self.peers())

    def has_restarted(self, leader: LeaderRecord) -> bool:
        """Tell whether a later incarnation of a former leader's entry is registered.

        It starts only after the former one has ended. One that began at an earlier revision may
        be registered late.
        """
        return any(
            name == leader.entry
            and record.incarnation != leader.incarnation
            and record.began > leader.began
            for name, record in self.peers()
        )

    def supports(self, entry: ProcessId, incarnation: IncarnationId) -> bool:
        """Tell whether a registered process of another entry answers a `SupportRequest`."""
        return any(
            (name, record.incarnation) == (entry, incarnation) and record.supports
            for name, record in self.peers()
        )
