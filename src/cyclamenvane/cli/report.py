"""The commands that show the state of nodes and the audit trail."""

from __future__ import annotations

from cleo.helpers import option

from .base import CONTROL_OPTIONS, FAILED, NodeCommand
from .policy import describe_zone

__all__ = ["AuditCommand", "StatusCommand"]


class StatusCommand(NodeCommand):
    """Shows one node, its targets and the zones it knows."""

    name = "status"
    description = "Show a node, its targets and the zones"
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the status."""
        client = self.open_client()
        told = client and self.take(client.get("/status"))
        if not client or not told:
            return FAILED
        ready = "ready" if told["ready"] else "not ready"
        self.line(f"node {told['node']} in zone {told['zone']}: {ready}")
        silence = told["platform_silent_s"]
        seen = "never" if silence is None else f"{silence} s ago"
        self.line(f"platform last read: {seen}")
        rows = [
            [
                each["service"],
                each["address"],
                _describe_state(each),
                f"{each['in_flight']}/{each['limit']}",
                each["waiting"],
                each["level"],
                "pinned" if each["pinned"] else "automatic",
            ]
            for each in told["targets"]
        ]
        headers = [
            "service",
            "target",
            "state",
            "in flight",
            "waiting",
            "level",
            "mode",
        ]
        self.print_table(headers, rows)
        sections = [
            [each["team"], each["version"], each["operator"], each["accepted_at"]]
            for each in told["sections"]
        ]
        self.print_table(["section", "version", "accepted by", "at"], sections)
        for zone in self.take(client.get("/zones")).get("zones", []):
            self.line(describe_zone(zone))
        return 0


class AuditCommand(NodeCommand):
    """Prints the audit trail."""

    name = "audit"
    description = "Show who changed what, and what the automation did"
    options = [
        *CONTROL_OPTIONS,
        option("since", None, "Date prefix, as 2026-01-31", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Print the trail, oldest first."""
        client = self.open_client()
        told = client and self.take(client.get("/audit", since=self.option("since")))
        if not told:
            return FAILED
        for entry in told["entries"]:
            change = ""
            if entry["after"]:
                change = f" {entry['before']} -> {entry['after']}"
            self.line(
                f"{entry['when']} {entry['who']} {entry['action']}"
                f" {entry['subject']}{change} {entry['detail']}".rstrip()
            )
        return 0


def _describe_state(target: dict) -> str:
    if target["leaving"]:
        return "leaving"
    return "cold" if target["cold"] else "warm"
