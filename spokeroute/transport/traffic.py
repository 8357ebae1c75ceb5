"""Counters of the frames and bytes that a process sends or receives, by message type."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Number and total size of frames; mutable, as it is updated for every frame."""

    frames: int = 0
    size_bytes: int = 0


class TrafficCounter:
    """Traffic by message type since the counters were last read.

    Example:
        >>> counter = TrafficCounter()
        >>> counter.count("Probe", 100)
        >>> counter.taken()["Probe"].size_bytes
        100
    """

    def __init__(self) -> None:
        self._kinds: dict[str, Traffic] = {}

    def count(self, kind: str, size_bytes: int) -> None:
        """Count one frame of a message type.

        Example:
            counter.count("Probe", len(frame))
        """
        traffic = self._kinds.get(kind)
        if traffic is None:
            traffic = self._kinds[kind] = Traffic()
        traffic.frames += 1
        traffic.size_bytes += size_bytes

    def taken(self) -> dict[str, Traffic]:
        """Return the counts since the previous call and reset them.

        Example:
            >>> TrafficCounter().taken()
            {}
        """
        kinds, self._kinds = self._kinds, {}
        return kinds
