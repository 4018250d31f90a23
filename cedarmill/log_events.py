"""Every event that the programs log: its id, level, and words with places for its fields.

`docs/on-call.md` explains each one to operators.
"""

import logging
from typing import NamedTuple


class Event(NamedTuple):
    """One kind of event: its level, and its words with places for its fields."""

    level: int
    words: str


EVENTS = {
    "serves": Event(logging.INFO, "node {name} serves on {host} port {port}"),
    "ended": Event(logging.INFO, "node {name} has ended"),
    "draining": Event(logging.INFO, "draining: {held} reqs held"),
    "closed": Event(logging.INFO, "draining: no new sessions from now on, {held} reqs held"),
    "reloaded": Event(logging.INFO, "reloaded: the director is at {host} port {port}"),
    "reload-failed": Event(logging.ERROR, "reload failed, the old configuration holds: {reason}"),
    "reload-ignored": Event(logging.WARNING, "reload: a change of {names} takes a restart"),
    "health": Event(logging.INFO, "health by {kind} on {host} port {port}"),
    "watching": Event(logging.INFO, "director: watching from index {index} at {host} port {port}"),
    "watch-lost": Event(logging.WARNING, "director: watch lost ({reason}), the last list holds"),
    "entry-passed-over": Event(logging.WARNING, "director: entry {name} passed over: {reason}"),
    "sessions-full": Event(logging.WARNING, "client sessions at their bound of {bound}, new ones wait"),
    "accept-failed": Event(logging.WARNING, "accept failed: {reason}"),
    "session-not-opened": Event(logging.WARNING, "client session did not open: {reason}"),
    "executor-connections-full": Event(logging.WARNING, "backend connections at their bound of {bound}"),
    "wasted-work": Event(logging.INFO, "spent for nobody: {summary}"),
    "clock-off": Event(logging.WARNING, "a client's deadline cannot be: {reason}"),
    "overdue-unanswered": Event(logging.ERROR, "req overdue without an answer from the brain"),
    "frame-bad": Event(logging.WARNING, "a frame of {peer} not read: {reason}"),
    "lease-expired": Event(logging.WARNING, "fleet: the lease has run out, no keeper renews it"),
    "lease-holds": Event(logging.INFO, "fleet: the lease holds, orders of epoch {epoch}"),
    "replica-refuses": Event(logging.ERROR, "fleet: keeper {keeper} refuses: {reason}"),
    "traffic-plan-followed": Event(
        logging.INFO, "fleet: plan of epoch {epoch}: reqs go to {shares}; not reached: {cannot}"
    ),
    "gossip-summary": Event(
        logging.INFO, "fleet: of {peers} peers {followed} reports followed, {passed_over} passed over"
    ),
    "admission-level-followed": Event(
        logging.INFO, "fleet: refused at once: {part} of what is worth {rank}, all below; by reach: {tight}"
    ),
    "cluster-orders": Event(logging.INFO, "fleet: orders of epoch {epoch}, out: {out}, clients away: {away}"),
    "replica-serves": Event(logging.INFO, "keeper {name} of {cluster} serves on {host} port {port}"),
    "replica-store": Event(logging.INFO, "store: disk {disk}, start {boot}, entries up to {index}"),
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
    "replica-role": Event(logging.INFO, "keeper: {part}, leader {leader}, term {term}"),
    "replica-alarm": Event(logging.ERROR, "keeper: {reason}"),
    "supervisor-serves": Event(logging.INFO, "steward {name} runs {units}"),
    "supervisor-acts": Event(logging.INFO, "unit {unit}: order of {epoch}, lease for {left:.2f} s more"),
    "supervisor-starts": Event(
        logging.INFO, "unit {unit}: version {version} starts as {life}, process {pid}"
    ),
    "supervisor-ready": Event(logging.INFO, "unit {unit}: {life} is ready with version {version}"),
    "supervisor-stops": Event(logging.INFO, "unit {unit}: {life} is told to end"),
    "supervisor-process-ended": Event(logging.INFO, "unit {unit}: {life} has ended with {code}"),
    "supervisor-adopts": Event(logging.INFO, "unit {unit}: {life}, process {pid}, outlived the last steward"),
    "supervisor-waits": Event(logging.WARNING, "unit {unit}: cannot start yet: {reason}"),
    "admin-listening": Event(logging.INFO, "operators' door on {host} port {port}"),
    "inherited": Event(logging.INFO, "clients' listening socket inherited as descriptor {fd}"),
    "excluded": Event(logging.INFO, "executor {executor} out by hand: the module sees it draining"),
    "included": Event(logging.INFO, "executor {executor} back in by hand, as a new and cold process"),
    "exclusions-taken": Event(logging.INFO, "marks of executors taken from the kept file: {names}"),
    "exclusions-unread": Event(logging.WARNING, "kept marks of executors not read: {reason}"),
    "exclusions-not-saved": Event(logging.ERROR, "an executor's mark not kept, so not made: {reason}"),
    "warm-state-restored": Event(
        logging.INFO, "took up what this node's last process learned of {workers} executors {age:.1f} s ago"
    ),
    "warm-state-unread": Event(logging.WARNING, "what an earlier process learned not taken up: {reason}"),
    "warm-state-not-saved": Event(logging.WARNING, "what this process learned not kept: {reason}"),
    "sibling-exchange-failed": Event(
        logging.WARNING, "what this node's other process has out not exchanged: {reason}"
    ),
    "sibling-unread": Event(logging.WARNING, "what this node's other process has out not read: {reason}"),
    "sibling-processes": Event(logging.INFO, "other processes of this node that live: {others}"),
    "boot-unknown": Event(
        logging.WARNING, "this machine's start has no id, documents are aged by Unix time: {reason}"
    ),
    "log-lost": Event(logging.WARNING, "lines of this log that could not be written: {lines}"),
    "evacuated": Event(logging.INFO, "evacuated: /ready says no, answers end their connections, {held} held"),
    "rejoined": Event(logging.INFO, "rejoined: /ready says yes again"),
    "defect": Event(logging.ERROR, "{what} failed"),
    "loop": Event(logging.ERROR, "loop: {what}"),
}
