"""Builds the adapter from its paths, tables, decoders and store client."""

from __future__ import annotations

from datetime import timedelta

from ..mesh.adapter import MeshAdapter
from ..mesh.admin import AdminProtocol
from .documents import decode_configuration, decode_heartbeat
from .headers import HEADERS, parse_ancestor_ids, parse_key
from .store import RowsClient

__all__ = ["METRICS_PORT", "make_adapter"]

# Much longer than a transaction takes, shorter than a caller waits.
_STORE_TIMEOUT = timedelta(seconds=1)
METRICS_PORT = 9464  # also set in deploy/system.toml


def make_adapter(metrics_port: int = METRICS_PORT) -> MeshAdapter:
    """Return the adapter for the users' platform."""
    return MeshAdapter(
        header_names=HEADERS,
        admin=AdminProtocol(
            readiness_path="/api/ready",
            heartbeat_prefix="/api/endpoints/",
            metrics_path="/metrics",
            metrics_port=metrics_port,
            decode_heartbeat=decode_heartbeat,
        ),
        configuration_table="op",
        configuration_key="config",
        open_store=lambda address: RowsClient(address, _STORE_TIMEOUT),
        store_timeout=_STORE_TIMEOUT,
        decode_configuration=decode_configuration,
        parse_ancestor_ids=parse_ancestor_ids,
        parse_key=parse_key,
    )
