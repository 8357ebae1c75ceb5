"""Counts of what a process sends and receives, by kind of message."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """So many frames, and their bytes: counted up in place, as each frame passes here."""

    frames: int = 0
    size_bytes: int = 0


class TrafficCounter:
    """Traffic by kind, since it was taken last.

    Example:
        >>> counter = TrafficCounter()
        >>> counter.count("Probe", 100)
        >>> counter.taken()["Probe"].size_bytes
        100
    """

    def __init__(self) -> None:
        self._kinds: dict[str, Traffic] = {}

    def count(self, kind: str, size_bytes: int) -> None:
        """One frame of a kind.

        Example:
            counter.count("Probe", len(frame))
        """
        traffic = self._kinds.get(kind)
        if traffic is None:
            traffic = self._kinds[kind] = Traffic()
        traffic.frames += 1
        traffic.size_bytes += size_bytes

    def taken(self) -> dict[str, Traffic]:
        """What was counted since this was asked last.

        Example:
            >>> TrafficCounter().taken()
            {}
        """
        kinds, self._kinds = self._kinds, {}
        return kinds
