"""Commands that show a node's status and the audit trail."""

from __future__ import annotations

from cleo.helpers import option

from .base import CONTROL_OPTIONS, EXIT_FAILURE, NodeCommand
from .policy import describe_zone

__all__ = ["AuditCommand", "StatusCommand"]


class StatusCommand(NodeCommand):
    """Shows one node, its targets and its view of the zones."""

    name = "status"
    description = "Show a node, its targets and the zones"
    options = CONTROL_OPTIONS

    def handle(self) -> int:
        """Print the status."""
        client = self.open_client()
        response = client and self.unwrap(client.get("/status"))
        if not client or not response:
            return EXIT_FAILURE
        ready = "ready" if response["ready"] else "not ready"
        self.line(f"node {response['node']} in zone {response['zone']}: {ready}")
        silent_s = response["platform_silent_s"]
        last_read = "never" if silent_s is None else f"{silent_s} s ago"
        self.line(f"platform last read: {last_read}")
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
            for each in response["targets"]
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
            for each in response["sections"]
        ]
        self.print_table(["section", "version", "accepted by", "at"], sections)
        for zone in self.unwrap(client.get("/zones")).get("zones", []):
            self.line(describe_zone(zone))
        return 0


class AuditCommand(NodeCommand):
    """Prints the audit trail."""

    name = "audit"
    description = "Show the changes made by operators and by the automation"
    options = [
        *CONTROL_OPTIONS,
        option(
            "since", None, "Date prefix, for example 2026-01-31", flag=False, default=""
        ),
    ]

    def handle(self) -> int:
        """Print the audit trail, oldest entry first."""
        client = self.open_client()
        response = client and self.unwrap(
            client.get("/audit", since=self.option("since"))
        )
        if not response:
            return EXIT_FAILURE
        for entry in response["entries"]:
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
