"""Records in the store of how far open upkeep waves have come.

A scheduler continues a wave where the last one stopped, and empties no host a second time.
"""

import logging
from collections.abc import Collection, Container, Iterator
from dataclasses import dataclass
from typing import Self

from apricotpath.errors import InputError
from apricotpath.ids import MachineId, WaveId
from apricotpath.jsonfields import (
    parse_object,
    read_int,
    read_list,
    read_number,
    read_str,
    to_str,
)
from apricotpath.jsontext import json_bytes
from apricotpath.machines import Wave
from apricotpath.store import Compare, Delete, Put, Store

log = logging.getLogger(__name__)

# Hexadecimal digits of a record, one for each 4 of the 10,000 machines that a wave may name.
MAX_DIGITS = 2500
# Machines of a record that have an order without an answer; no further one is ordered.
MAX_ORDERED = 1000
# A record is stored again once the wave has been open for so much longer (seconds).
OPEN_STEP_S = 2.0


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """The machines of a wave that have begun their upkeep, as bits by their places in it.

    The places are those in the wave as it was at `revision`. `open_s`: for how long (seconds)
    schedulers had known the wave at least. `ordered`: machines with an order that may still be
    carried out, also of earlier revisions of the wave.
    """

    revision: int
    bits: int
    open_s: float = 0.0
    ordered: frozenset[MachineId] = frozenset()

    @classmethod
    def from_wave(
        cls,
        wave: Wave,
        begun: Container[MachineId],
        open_s: float,
        ordered: Collection[MachineId] = (),
    ) -> Self:
        """Return the record of a wave whose machines have `begun`, or were `ordered`."""
        binary = "".join("1" if name in begun else "0" for name in reversed(wave.machines))
        kept = frozenset(sorted(ordered)[:MAX_ORDERED])
        return cls(wave.revision, int(binary or "0", 2), round(open_s, 3), kept)

    def is_outdated_by(self, newer: Self) -> bool:
        """Return whether a newer record tells so much more that it should be stored."""
        own, others = (self.revision, self.bits), (newer.revision, newer.bits)
        changed = own != others or self.ordered != newer.ordered
        return changed or newer.open_s - self.open_s >= OPEN_STEP_S

    def machines(self, wave: Wave) -> Iterator[MachineId]:
        """Yield the machines that have begun; none if the wave was written again since."""
        if wave.revision == self.revision:
            for place, name in enumerate(wave.machines):
                if self.bits >> place & 1:
                    yield name

    @classmethod
    def parse(cls, value: bytes) -> Self:
        """Return the record of a stored value, or raise InputError."""
        body = parse_object(value, "the record of a wave")
        digits = read_str(body, "begun")
        if len(digits) > MAX_DIGITS:
            raise InputError(f"begun has more than {MAX_DIGITS} digits", path="begun")
        try:
            bits = int(digits, 16)
        except ValueError as exc:
            raise InputError("begun is not a hexadecimal number", path="begun") from exc
        ordered = read_list(body, "ordered", [])
        return cls(
            read_int(body, "revision", low=0),
            max(0, bits),
            read_number(body, "openS", 0.0, low=0),
            frozenset(MachineId(to_str(name, "ordered")) for name in ordered),
        )

    def encode(self) -> bytes:
        """Return the stored form."""
        content = {"revision": self.revision, "begun": f"{self.bits:x}", "openS": self.open_s}
        return json_bytes(content | ({"ordered": sorted(self.ordered)} if self.ordered else {}))


# Stands for the record of a wave that has none.
NO_RECORD = WaveRecord(0, 0)


class UpkeepRecords:
    """The records of all waves; calls raise StoreError.

    Writes are made only if the comparison `leads` holds, and return whether it did.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self._store, self._root = store, f"{prefix}upkeep/"

    async def read(self) -> dict[WaveId, WaveRecord]:
        """Return all records; a malformed one counts as none."""
        found = {}
        for item in (await self._store.range(self._root)).items:
            name = item.key.removeprefix(self._root)
            try:
                found[WaveId(int(name))] = WaveRecord.parse(item.value)
            except (InputError, ValueError) as exc:
                log.error("malformed record of a wave: %s", exc, extra={"key": item.key})
        return found

    async def write(self, wave: WaveId, record: WaveRecord, leads: Compare) -> bool:
        """Store the record of a wave."""
        put = Put(f"{self._root}{wave}", record.encode())
        return (await self._store.txn([leads], [put])).succeeded

    async def delete(self, wave: WaveId, leads: Compare) -> bool:
        """Delete the record of a wave that is closed."""
        return (await self._store.txn([leads], [Delete(f"{self._root}{wave}")])).succeeded
