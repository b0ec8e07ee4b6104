"""Sets of small numbers as bits of an integer."""

from collections.abc import Iterator


def set_bit_ranges(bits: int) -> Iterator[tuple[int, int]]:
    """Yield the ranges of set bits as (first, end), with the end excluded."""
    first = 0
    while bits:
        gap = (bits & -bits).bit_length() - 1
        first, bits = first + gap, bits >> gap
        length = (~bits & (bits + 1)).bit_length() - 1
        yield first, first + length
        first, bits = first + length, bits >> length


def first_unset(bits: int, start: int) -> int:
    """Return the lowest number from `start` on that is not in a set."""
    gaps = ~(bits >> start)
    return start + (gaps & -gaps).bit_length() - 1
