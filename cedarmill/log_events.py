"""Table of all log events: id, level, line template with placeholders for fields, and further fields.

`docs/on-call.md` explains each event to operators, and `docs/operators/log-events.md` maps the ids and fields
of earlier versions to the current ones. Tests compare both pages and every `log_event` call with this table.

Two lines are parsed by other programs, possibly of another version, so their text must not change: `serves`
(the program that starts a node waits for this line and reads the port from it) and `admin-listening` (a
process supervisor reads from it the address of the admin API of a process that it has started).
"""

import logging
from string import Formatter
from typing import NamedTuple


class Event(NamedTuple):
    """Definition of a log event: level, line template, and fields that only the JSON format contains."""

    level: int
    line: str
    json_only: tuple[str, ...] = ()

    @property
    def fields(self) -> tuple[str, ...]:
        """Return the names of all fields: those of the line in its order, then the JSON-only ones."""
        line_fields = (name for _, name, _, _ in Formatter().parse(self.line) if name)
        return (*dict.fromkeys(line_fields), *self.json_only)


EVENTS = {
    # Parsed by other programs: the text of these two lines must not change.
    "serves": Event(logging.INFO, "node {name} serves on {host} port {port}"),
    "admin-listening": Event(logging.INFO, "operators' door on {host} port {port}"),
    # Events of nodes, replicas and process supervisors.
    "ended": Event(logging.INFO, "node {name} has ended"),
    "draining": Event(logging.INFO, "draining: {held} requests held"),
    "closed": Event(logging.INFO, "draining: no new sessions from now on, {held} requests held"),
    "reloaded": Event(logging.INFO, "reloaded: discovery is at {host} port {port}"),
    "reload-failed": Event(logging.ERROR, "reload failed, the old configuration holds: {reason}"),
    "reload-ignored": Event(logging.WARNING, "reload: a change of {names} takes a restart"),
    "health": Event(logging.INFO, "health by {kind} on {host} port {port}"),
    "watching": Event(logging.INFO, "discovery: watching from index {index} at {host} port {port}"),
    "watch-lost": Event(logging.WARNING, "discovery: watch lost ({reason}), the last endpoint list holds"),
    "entry-passed-over": Event(logging.WARNING, "discovery: entry {name} passed over: {reason}"),
    "sessions-full": Event(logging.WARNING, "client sessions at their bound of {bound}, new ones wait"),
    "accept-failed": Event(logging.WARNING, "accept failed: {reason}", ("listener",)),
    "session-not-opened": Event(logging.WARNING, "client session did not open: {reason}", ("listener",)),
    "messages-full": Event(logging.WARNING, "messages at their bound of {bound_kib} KiB, ended: {kind}"),
    "executor-connections-full": Event(logging.WARNING, "executor connections at their bound of {bound}"),
    "attempt-broken": Event(
        logging.WARNING, "the connection of an attempt in flight broke: {reason}", ("executor",)
    ),
    "held-up": Event(logging.WARNING, "the process was held up: its timers ran {delay_ms} ms late"),
    "wasted-work": Event(logging.INFO, "wasted work: {summary}", ("rows",)),
    "clock-off": Event(logging.WARNING, "a client's deadline cannot be: {reason}"),
    "overdue-unanswered": Event(logging.ERROR, "request overdue without an answer from the balancer"),
    "frame-bad": Event(logging.WARNING, "a frame of {peer} not read: {reason}"),
    "lease-expired": Event(logging.WARNING, "cluster: the lease has run out, no replica renews it"),
    "lease-holds": Event(logging.INFO, "cluster: the lease holds, orders of epoch {epoch}"),
    "replica-refuses": Event(logging.ERROR, "cluster: replica {replica} refuses: {reason}"),
    "traffic-plan-followed": Event(
        logging.INFO,
        "cluster: plan of epoch {epoch}: requests go to {shares}; not reached: {unreachable_zones}",
    ),
    "gossip-summary": Event(
        logging.INFO, "cluster: of {peers} peers {followed} reports followed, {passed_over} passed over"
    ),
    "admission-level-followed": Event(
        logging.INFO,
        "cluster: refused at once: {rejected_share} of priority weight {priority_weight}, all below; "
        "by zone or region: {scoped}",
    ),
    "cluster-orders": Event(
        logging.INFO,
        "cluster: orders of epoch {epoch}, excluded: {excluded}, draining clients: {draining_clients}",
    ),
    "replica-serves": Event(logging.INFO, "replica {name} of {cluster} serves on {host} port {port}"),
    "replica-store": Event(logging.INFO, "store: disk {disk}, start {start_count}, entries up to {index}"),
    "replica-log-truncated": Event(logging.WARNING, "store: a torn tail of {bytes} bytes was cut off"),
    "replica-needs-catch-up": Event(
        logging.WARNING, "store: {reason}: no vote till it is brought up to date"
    ),
    "supervisor-disk-failed": Event(
        logging.ERROR, "store: the disk failed, units stay as they are till it works again: {reason}"
    ),
    "supervisor-disk-retry": Event(
        logging.WARNING, "store: the disk still fails, tried again soon: {reason}"
    ),
    "supervisor-disk-recovered": Event(logging.INFO, "store: the disk works again after {seconds:.1f} s"),
    "replica-disk-failed": Event(
        logging.ERROR, "store: the disk failed, nothing is promised till it works again: {reason}"
    ),
    "replica-disk-retry": Event(logging.WARNING, "store: the disk still fails, tried again soon: {reason}"),
    "replica-disk-recovered": Event(logging.INFO, "store: the disk works again after {seconds:.1f} s"),
    "replica-role": Event(logging.INFO, "replica: {role}, leader {leader}, term {term}"),
    "replica-alarm": Event(logging.ERROR, "replica: {reason}"),
    "supervisor-serves": Event(logging.INFO, "process supervisor {name} runs {units}"),
    "supervisor-acts": Event(
        logging.INFO, "unit {unit}: order of {epoch}, lease for {lease_left_s:.2f} s more"
    ),
    "supervisor-starts": Event(
        logging.INFO, "unit {unit}: version {version} starts as {incarnation}, process {pid}"
    ),
    "supervisor-ready": Event(logging.INFO, "unit {unit}: {incarnation} is ready with version {version}"),
    "supervisor-stops": Event(logging.INFO, "unit {unit}: {incarnation} is told to end"),
    "supervisor-process-ended": Event(logging.INFO, "unit {unit}: {incarnation} has ended with {code}"),
    "supervisor-adopts": Event(
        logging.INFO, "unit {unit}: {incarnation}, process {pid}, outlived the last process supervisor"
    ),
    "supervisor-waits": Event(logging.WARNING, "unit {unit}: cannot start yet: {reason}"),
    "inherited": Event(logging.INFO, "clients' listening socket inherited as descriptor {fd}"),
    "excluded": Event(logging.INFO, "executor {executor} excluded by hand: the balancer sees it draining"),
    "included": Event(
        logging.INFO, "executor {executor} included again by hand: it warms up as a new process"
    ),
    "exclusions-taken": Event(logging.INFO, "exclusions of executors taken from the state file: {names}"),
    "exclusions-unread": Event(
        logging.WARNING, "exclusions of executors not read from the state file: {reason}"
    ),
    "exclusions-not-saved": Event(
        logging.ERROR, "an exclusion of an executor could not be stored, so it was not changed: {reason}"
    ),
    "warm-state-restored": Event(
        logging.INFO,
        "took up what this node's last process learned of {executors} executors {age_s:.1f} s ago",
    ),
    "warm-state-unread": Event(logging.WARNING, "what an earlier process learned not taken up: {reason}"),
    "warm-state-not-saved": Event(logging.WARNING, "what this process learned not stored: {reason}"),
    "sibling-exchange-failed": Event(
        logging.WARNING, "requests in flight not exchanged with this node's sibling process: {reason}"
    ),
    "sibling-unread": Event(
        logging.WARNING, "requests in flight at this node's sibling process not read: {reason}"
    ),
    "call-id-open": Event(
        logging.WARNING, "a request with the x-call-id of an open one got 409; {holder} holds that one"
    ),
    "call-id-was-open": Event(logging.WARNING, "409: sent before its x-call-id closed {closed_ms} ms ago"),
    "call-ids-not-shared": Event(
        logging.WARNING, "ids of open requests not shared with this node's sibling process: {reason}"
    ),
    "sibling-processes": Event(logging.INFO, "sibling processes of this node that live: {siblings}"),
    "boot-unknown": Event(
        logging.WARNING, "this machine's boot has no id, documents are aged by Unix time: {reason}"
    ),
    "log-lost": Event(logging.WARNING, "lines of this log that could not be written: {lines}"),
    "clients-draining": Event(
        logging.INFO,
        "draining clients: /ready says no, answers end their connections, {sessions} sessions held",
    ),
    "rejoined": Event(logging.INFO, "rejoined: /ready says yes again"),
    "defect": Event(logging.ERROR, "{what} failed"),
    "loop": Event(logging.ERROR, "loop: {what}"),
}
