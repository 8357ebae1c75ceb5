"""The stored form of a configuration: the operator's version number, then packed JSON lines."""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Mapping, Sequence
from typing import Any

from spokeroute.dispatch.configuration.models import Configuration
from spokeroute.register.packed import pack, unpack
from spokeroute.register.stamps import NUMBER, number_of

CHUNK_END = re.compile(r"(?<=\},)")


def pack_configuration(
    configuration: Configuration, apply_id: str, number: int = 0, document: str = ""
) -> bytes:
    """Serialize a configuration as a register value.

    ``apply_id`` distinguishes two requests with the same content. ``number`` is the operator's own
    version; ``document`` is the original document that an adapter received.

    Example:
        unpack_configuration(pack_configuration(Configuration((), (), ()), "a"))[1] == "a"
    """
    rows = {
        "configuration": _by_lines(configuration.to_dict()),
        "document": _list_by_lines(_chunks(document)),
    }
    head = json.dumps({"applyId": apply_id, "number": number}, separators=(",", ":"))
    text = head[:-1] + "".join(f',"{name}":{row}' for name, row in rows.items()) + "}"
    return NUMBER.pack(number) + pack(text.encode())


def _chunks(document: str) -> list[str]:
    """Split a document after each object, so that its versions share most chunks."""
    return CHUNK_END.split(document) if document else []


def _list_by_lines(items: Sequence[Any]) -> str:
    return "[\n" + ",\n".join(json.dumps(item, separators=(",", ":")) for item in items) + "\n]"


def _by_lines(raw: Mapping[str, Any]) -> str:
    """Serialize an object with one line for each entry of its lists."""
    parts = (
        f"{json.dumps(name)}:" + (_list_by_lines(value) if isinstance(value, list)
                                  else json.dumps(value, separators=(",", ":")))
        for name, value in raw.items()
    )  # fmt: skip
    return "{" + ",".join(parts) + "}"


def content_of(configuration: Configuration, document: str = "") -> str:
    """The digest of an operator's request: of the document if there is one, else of the
    configuration. It does not depend on whitespace or the order of fields.

    Example:
        content_of(configuration, '{"a": 1}') == content_of(configuration, '{ "a":1 }')
    """
    doc = json.loads(document) if document else configuration.to_dict()
    text = json.dumps(doc, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


def _unpack(value: bytes) -> Any:
    # The recorded orders follow the packed part.
    return json.loads(unpack(value, NUMBER.size))


def unpack_configuration(value: bytes) -> tuple[dict[str, Any], str]:
    """The configuration as it was sent, and its apply id.

    Example:
        unpack_configuration(value)[0]["services"]
    """
    doc = _unpack(value)
    return doc["configuration"], doc["applyId"]


def document_of(value: bytes) -> str:
    """The original document that an adapter received; empty if there was none.

    Example:
        document_of(pack_configuration(Configuration((), (), ()), "a", 1, "{}")) == "{}"
    """
    return sent_of(value)[1]


def sent_of(value: bytes) -> tuple[int, str]:
    """The number and the document of the order that wrote a value; 0 and empty if it had none.

    Example:
        sent_of(pack_configuration(Configuration((), (), ()), "a", 1, "{}")) == (1, "{}")
    """
    doc = _unpack(value)
    return int(doc.get("number", number_of(value))), "".join(doc["document"])
