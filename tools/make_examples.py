"""Writes the example configurations of the two deployments."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

ZONES = ["north", "centre", "south"]


def configuration(
    name: str,
    busy: list[tuple[str, str, list[str], bool]],
    small: str,
    start_busy_ms: int,
    start_small_ms: int,
) -> dict[str, Any]:
    """A deployment's configuration."""
    services: list[dict[str, Any]] = []
    routes: list[dict[str, Any]] = []
    for service, path, methods, repeatable in busy:
        services.append({
            "name": service, "memoryMb": 512, "limit": 4, "startMs": start_busy_ms,
            "longestRunMs": 1500, "coldMs": 2000, "minInstances": 2, "spares": 1,
        })  # fmt: skip
        routes.append({
            "path": path, "service": service, "methods": methods, "repeatable": repeatable,
            "perClientPerS": 100.0,
        })  # fmt: skip
    for number in range(1, 76):
        service = f"{small}-{number:02d}"
        services.append({
            "name": service, "memoryMb": 128, "limit": 1, "startMs": start_small_ms,
            "longestRunMs": 1500, "coldMs": 1000, "spares": 1,
        })  # fmt: skip
        routes.append({
            "path": f"/{small}/{number:02d}/*", "service": service, "methods": ["GET", "POST"],
            "repeatable": True, "perClientPerS": 50.0,
        })  # fmt: skip
    return {"name": name, "zones": ZONES, "services": services, "routes": routes}


def main() -> None:
    """The program's entry."""
    tooluur = configuration(
        "Tsagaan Tooluur",
        [
            ("readings", "/readings", ["POST"], True),
            ("corrections", "/corrections", ["POST"], False),
            ("batches", "/batches/*", ["GET"], True),
            ("histories", "/histories/*", ["GET"], True),
        ],
        "district", 1400, 1000,
    )  # fmt: skip
    organismo = configuration(
        "Organismo",
        [
            ("port-ins", "/port-ins", ["POST"], False),
            ("inquiries", "/inquiries/*", ["GET"], True),
            ("reconciliation", "/reconciliation/*", ["GET", "POST"], True),
            ("switch-orders", "/switch-orders", ["POST"], False),
        ],
        "municipal", 500, 300,
    )  # fmt: skip
    folder = Path(__file__).parent.parent / "examples"
    for name, doc in (("tooluur", tooluur), ("organismo", organismo)):
        (folder / f"{name}.json").write_text(json.dumps(doc, indent=1) + "\n")


if __name__ == "__main__":
    main()
