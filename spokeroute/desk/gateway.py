"""Manifests in the manner of the Gateway API, read as YAML, turned into lanes.

A Gateway and its HTTPRoutes say which paths go to which services; what an instance needs is
not in them, so they are laid onto a configuration that has the services. What spokeroute has
no meaning for is refused by name, not dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import yaml

GROUP = "gateway.networking.k8s.io"
REPEATABLE = "spokeroute/repeatable"
PER_AGENT = "spokeroute/per-agent-per-s"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


@dataclass(frozen=True, slots=True)
class ManifestFault:
    """One thing in a manifest that can't be taken."""

    path: str
    reason: str
    remedy: str


class _Reading:
    def __init__(self) -> None:
        self.faults: list[ManifestFault] = []
        self.lanes: dict[str, dict[str, Any]] = {}
        self.gateways: set[str] = set()

    def fault(self, path: str, reason: str, remedy: str) -> None:
        self.faults.append(ManifestFault(path, reason, remedy))

    def only(self, path: str, raw: Any, known: tuple[str, ...]) -> dict[str, Any]:
        """A mapping that has no other fields than these."""
        if not isinstance(raw, dict):
            self.fault(path, "must be a mapping", "write fields")
            return {}
        for key in raw:
            if key not in known:
                self.fault(f"{path}.{key}", "unsupported", f"remove it; known: {', '.join(known)}")
        return raw

    def items(self, path: str, raw: Any) -> list[Any]:
        """A list."""
        if not isinstance(raw, list):
            self.fault(path, "must be a list", "write a list")
            return []
        return raw


def readManifests(text: str) -> tuple[list[dict[str, Any]], list[ManifestFault]]:
    """The lanes of all HTTPRoutes in a YAML text, and every fault.

    Example:
        >>> readManifests("")
        ([], [])
    """
    reading = _Reading()
    try:
        documents = [d for d in yaml.safe_load_all(text) if d is not None]
    except (yaml.YAMLError, RecursionError) as fault:
        return [], [ManifestFault("", f"no YAML: {fault}", "mend it")]
    for i, document in enumerate(documents):
        at = f"[{i}]"
        doc = reading.only(at, document, ("apiVersion", "kind", "metadata", "spec", "status"))
        version = str(doc.get("apiVersion", ""))
        kind = doc.get("kind")
        if not version.startswith(f"{GROUP}/") or kind not in ("Gateway", "HTTPRoute"):
            reading.fault(at, f"{version} {kind} is unsupported", f"use {GROUP} Gateway, HTTPRoute")
        elif kind == "Gateway":
            _gateway(reading, at, doc)
        else:
            _route(reading, at, doc)
    return list(reading.lanes.values()), reading.faults


def _gateway(reading: _Reading, at: str, doc: dict[str, Any]) -> None:
    spec = reading.only(f"{at}.spec", doc.get("spec"), ("gatewayClassName", "listeners"))
    for n, listener in enumerate(reading.items(f"{at}.spec.listeners", spec.get("listeners", []))):
        path = f"{at}.spec.listeners[{n}]"
        raw = reading.only(path, listener, ("name", "port", "protocol"))
        if raw.get("protocol", "HTTP") != "HTTP":
            reading.fault(f"{path}.protocol", f"{raw['protocol']} is unsupported", "use HTTP")


def _route(reading: _Reading, at: str, doc: dict[str, Any]) -> None:
    meta = doc.get("metadata")
    notes = meta.get("annotations") if isinstance(meta, dict) else None
    notes = notes if isinstance(notes, dict) else {}
    spec = reading.only(f"{at}.spec", doc.get("spec"), ("parentRefs", "rules"))
    for n, item in enumerate(reading.items(f"{at}.spec.rules", spec.get("rules", []))):
        path = f"{at}.spec.rules[{n}]"
        rule = reading.only(path, item, ("name", "matches", "backendRefs"))
        service = _backend(reading, path, rule)
        matches = rule.get("matches", [{"path": {"type": "PathPrefix", "value": "/"}}])
        for m, match in enumerate(reading.items(f"{path}.matches", matches)):
            if service:
                _match(reading, f"{path}.matches[{m}]", match, service, notes)


def _backend(reading: _Reading, path: str, rule: dict[str, Any]) -> str:
    refs = reading.items(f"{path}.backendRefs", rule.get("backendRefs", []))
    if len(refs) != 1:
        reading.fault(f"{path}.backendRefs", f"has {len(refs)} entries", "name one service")
        return ""
    known = ("name", "port", "kind", "group", "weight")
    ref = reading.only(f"{path}.backendRefs[0]", refs[0], known)
    if ref.get("kind", "Service") != "Service":
        reading.fault(f"{path}.backendRefs[0].kind", f"{ref['kind']} is unsupported", "use Service")
    return str(ref.get("name", ""))


def _match(reading: _Reading, path: str, item: Any, service: str, notes: dict[str, Any]) -> None:
    match = reading.only(path, item, ("path", "method"))
    default = {"type": "PathPrefix", "value": "/"}
    place = reading.only(f"{path}.path", match.get("path", default), ("type", "value"))
    kind, value = place.get("type", "PathPrefix"), str(place.get("value", "/"))
    if kind == "Exact":
        paths = [value]
    elif kind == "PathPrefix":
        bare = value.rstrip("/")
        paths = [f"{bare}/*"]  # a prefix lane takes the bare path too
    else:
        reading.fault(f"{path}.path.type", f"{kind} is unsupported", "use Exact or PathPrefix")
        return
    method = match.get("method")
    if method is not None and method not in METHODS:
        reading.fault(f"{path}.method", f"{method} is unsupported", f"use {', '.join(METHODS)}")
        return
    for lanePath in paths:
        lane = reading.lanes.setdefault(
            lanePath,
            {"path": lanePath, "service": service, "methods": [],
             "repeatable": str(notes.get(REPEATABLE, "false")).lower() == "true",
             "perAgentPerS": float(notes.get(PER_AGENT, 20.0))},
        )  # fmt: skip
        if lane["service"] != service:
            reading.fault(
                path, f"{lanePath} goes to {lane['service']} already",
                "one path goes to one service, whatever its method",
            )  # fmt: skip
        wanted = [method] if method else list(METHODS)
        lane["methods"].extend(m for m in wanted if m not in lane["methods"])


def lay(text: str, onto: dict[str, Any]) -> dict[str, Any] | list[ManifestFault]:
    """A configuration with its lanes taken from manifests, or every fault.

    Example:
        lay(manifests, configuration)["lanes"]
    """
    lanes, faults = readManifests(text)
    known = {s.get("name") for s in onto.get("services", []) if isinstance(s, dict)}
    for lane in lanes:
        if lane["service"] not in known:
            faults.append(
                ManifestFault(lane["path"], f"no service {lane['service']!r}",
                              "add it to the configuration that the lanes are laid onto")
            )  # fmt: skip
    return faults if faults else {**onto, "lanes": lanes}
