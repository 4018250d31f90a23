"""Tests with real replica processes: elections, lost, outdated and failing disks, restore, and commands."""

import json
import shutil
import unittest

from cedarmill.cluster.messages import ReadRequest, SubmitRequest
from cedarmill.cluster.observations.digest import LocationObservation, ObservationDigest
from cedarmill.cluster.state_machine import commands
from cedarmill.net.cluster.operator import NoReplicaError, OperatorClient, new_request_id
from tests.support.replica_case import LONG, Member, ReplicaCase, cli


class ThreeReplicas(ReplicaCase):
    def test_drain_command_reports_permits_by_exit_code_and_json(self):
        node = Member(self, "n0")
        node.join()
        dry_run = self.run_cluster_command("drain", "b0", "b3", "b9", "--dry-run")
        self.assertEqual(dry_run.returncode, 1, dry_run.stdout)
        for expected_text in ("b0: would be granted", "b3: would wait", "b9: would be refused no executor"):
            self.assertIn(expected_text, dry_run.stdout)
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 0)
        waiting = self.run_cluster_command("--json", "drain", "b3")
        self.assertEqual((waiting.returncode, json.loads(waiting.stdout)[0]["state"]), (4, "waiting"))
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 1)
        node.send_heartbeat()
        self.assertEqual(set(node.orders.excluded_executors), {"b0"})
        node.report_drained()
        self.wait_for(lambda: self.look("permits")[0]["drained"])
        self.assertIn("drained", self.run_cluster_command("permits").stdout)
        self.assertEqual(self.run_cluster_command("undrain", "b0").returncode, 0)
        self.wait_for(lambda: self.look("permits")[1]["state"] == "granted")
        for command, expected_output in (
            ("status", "leader k"),
            ("members", "n0"),
            ("targets", "b5"),
            ("limits", "executor per"),
            ("log", "drained"),
        ):
            self.assertIn(expected_output, self.run_cluster_command(command).stdout)
        self.assertEqual(self.run_cluster_command("undrain", "b9").returncode, 1)
        self.assertEqual(self.run_cluster_command("say", "drained", "b3").returncode, 2)
        self.assertEqual(self.run_cluster_command("say", "drained", "b3", "--reason", "seen").returncode, 0)

    def test_release_of_an_unknown_unit_is_refused_with_the_reason(self):
        result = self.run_cluster_command("release", "plan", "--version", "v2", "--group", "n0")
        self.assertEqual((result.returncode, result.stdout), (1, "no steward runs a unit of the name n0\n"))
        self.assertEqual(self.run_cluster_command("release", "status", "7").returncode, 1)
        self.assertEqual(
            self.run_cluster_command(
                "release", "plan", "--version", "v2", "--group", "n0", "--bake", "5"
            ).returncode,
            2,
        )

    def test_permit_is_found_by_number_only(self):
        Member(self, "n0").join()
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 0)
        self.assertEqual(self.look("permits", "b0"), [])
        self.assertEqual(self.look("permits", "1")[0]["target"], "b0")

    def test_request_repeated_after_the_leader_is_killed_has_the_same_outcome(self):
        node = Member(self, "n0")
        node.join()
        request = SubmitRequest(
            commands.RequestPermits(0, "operator", new_request_id(), "executor", ("b0", "b1", "b2"))
        )
        first_reply = self.operator.send(request, LONG)
        leader = self.leader()
        self.kill(leader)
        second_reply = self.operator.send(request, LONG)
        self.assertEqual([row[:2] for row in second_reply.permits], [row[:2] for row in first_reply.permits])
        self.assertEqual(len(self.look("permits")), 3)
        self.assertNotEqual(self.leader(), leader)

    def test_permits_survive_a_restart_of_all_replicas(self):
        Member(self, "n0").join()
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 0)
        self.kill(*self.ports)
        with self.assertRaises(NoReplicaError):
            self.operator.send(ReadRequest("status"), 0.5)
        self.assertEqual(self.run_cluster_command("status").returncode, 3)
        for name in self.ports:
            self.start_replica(name)
        self.assertEqual(self.look("permits")[0]["target"], "b0")

    def test_members_silent_at_the_same_time_halt_grants_and_stay_live(self):
        """Simultaneous silence is more often a network failure than the death of all nodes."""
        nodes = [Member(self, f"n{n}") for n in range(5)]
        leases = lambda: [node.send_heartbeat().lease_us for node in nodes]  # noqa: E731
        self.wait_for(lambda: all(leases()) and not self.look("status")["halted"])
        self.wait_for(lambda: "fell silent at once" in self.look("status")["halted"])
        waiting = self.run_cluster_command("drain", "b0")
        self.assertEqual(waiting.returncode, 4)
        self.assertIn("nothing is granted now: 5 of 5 members fell silent at once", waiting.stdout)
        self.assertEqual({row["state"] for row in self.look("members")}, {"live"}, "no member counts as dead")
        self.wait_for(lambda: [node.send_heartbeat() for node in nodes] and not self.look("status")["halted"])
        self.assertEqual(self.look("permits")[0]["state"], "granted")

    def test_leadership_is_transferred_on_sigterm_and_by_command(self):
        previous_leader = self.leader()
        target = next(name for name in self.ports if name != previous_leader)
        self.assertEqual(self.run_cluster_command("keepers", "lead", target).returncode, 0)
        self.wait_for(lambda: self.leader() == target)
        self.running[target].terminate()
        self.assertEqual(self.running[target].wait(LONG), 0)
        self.wait_for(lambda: self.leader() != target)

    def test_client_of_another_cluster_is_refused(self):
        self.wait_for(self.leader)  # A replica that is still starting does not report its cluster.
        client = OperatorClient("other", [f"127.0.0.1:{port}" for port in self.ports.values()], "x")
        with self.assertRaisesRegex(NoReplicaError, "this is cluster main, not other"):
            client.send(ReadRequest("status"), 1)

    def test_invalid_settings_are_refused_with_a_one_line_error(self):
        path = self.folder / "bad.xml"
        valid_settings = (self.folder / "k0.xml").read_text()
        for change, expected_text in (
            (('name="k0" data', 'name="k7" data'), "no <peer>"),
            (("<peer", "<per"), "per"),
            (('most="2"', ""), "<limit>"),
            (('listen="127.0.0.1', 'listen="local'), "ADDRESS:PORT"),
        ):
            path.write_text(valid_settings.replace(*change))
            result = cli("keeper", "-c", str(path))
            self.assertEqual((result.returncode, len(result.stderr.splitlines())), (2, 1), result.stderr)
            self.assertIn(expected_text, result.stderr)
        result = self.format_disk("k0")
        self.assertEqual(result.returncode, 2)
        self.assertIn("holds the disk main/k0/1 already", result.stderr)


class ReplacedDisks(ReplicaCase):
    def replace_replica(self, name: str) -> None:
        """Wait until a replica on an unknown disk is refused, then register the new disk by command."""
        self.wait_for(lambda: "replace the keeper" in "".join(map(self.replica_log, self.ports)))
        self.assertEqual(self.run_cluster_command("keepers", "remove", name).returncode, 0)
        disk = self.replica_log(name).rpartition("store: disk ")[2].split(",")[0]
        added = self.run_cluster_command(
            "keepers", "add", name, "--address", f"127.0.0.1:{self.ports[name]}", "--disk", disk
        )
        self.assertEqual(added.returncode, 0, added.stdout + added.stderr)
        self.wait_for(lambda: self.look("status")["keepers"][name]["votes"])

    def test_replica_with_an_empty_disk_is_refused_until_an_operator_replaces_it(self):
        Member(self, "n0").join()
        name = next(name for name in self.ports if name != self.leader())
        self.kill(name)
        self.delete_data(name)
        self.start_replica(name)
        self.wait_for(lambda: "its disk is empty" in self.replica_log(name))
        self.replace_replica(name)
        other = next(replica for replica in self.ports if replica not in (name, self.leader()))
        self.kill(other)  # A majority now needs the replaced replica.
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 0)

    def test_replica_on_an_old_copy_of_its_disk_is_refused(self):
        name = next(name for name in self.ports if name != self.leader())
        self.kill(name)
        shutil.copytree(self.folder / name, self.folder / "old")
        # Start 1 formats the disk; the other replicas record each later start.
        for start in ("start 3,", "start 4,"):
            self.start_replica(name)
            self.wait_for(
                lambda start=start: "follower, leader k" in self.replica_log(name).partition(start)[2]
            )
            self.kill(name)
        self.delete_data(name)
        shutil.copytree(self.folder / "old", self.folder / name)
        self.start_replica(name)
        self.wait_for(lambda: "old copy of its disk" in "".join(map(self.replica_log, self.ports)))
        self.assertEqual(self.run_cluster_command("status").returncode, 0)

    def test_restored_cluster_counts_granted_permits_as_out_of_service(self):
        node = Member(self, "n0")
        node.join()
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 0)
        backup = self.folder / "fleet.backup"
        self.assertEqual(self.run_cluster_command("backup", str(backup)).returncode, 0)
        self.assertEqual(self.run_cluster_command("drain", "b1").returncode, 0)  # granted after the backup
        node.send_heartbeat()
        self.assertEqual(set(node.orders.excluded_executors), {"b0", "b1"})
        epoch = node.orders.epoch
        self.kill(*self.ports)
        for name in self.ports:
            self.delete_data(name)
            self.assertEqual(self.format_disk(name, "--restore", str(backup)).returncode, 0)
            self.start_replica(name)
        self.wait_for(
            lambda: (
                node.send_heartbeat(
                    held_grants={f"executor:{n}": e for n, e in node.orders.excluded_executors.items()}
                ).lease_us
                and len(node.orders.excluded_executors) == 2
                and node.orders.epoch > epoch
            )
        )
        states = {row["target"]: row["state"] for row in self.look("permits")}
        self.assertEqual(states, {"b0": "lost", "b1": "lost"})
        self.assertEqual(self.look("status")["generation"], 2)
        self.assertEqual(
            self.run_cluster_command("drain", "b2").returncode, 4, "two executors are out of service"
        )

    def test_truncated_backup_is_refused(self):
        backup = self.folder / "fleet.backup"
        self.assertEqual(self.run_cluster_command("backup", str(backup)).returncode, 0)
        backup.write_bytes(backup.read_bytes()[:-3])
        self.kill("k0")
        self.delete_data("k0")
        result = self.format_disk("k0", "--restore", str(backup))
        self.assertEqual(result.returncode, 2)
        self.assertIn("fleet.backup: torn or damaged", result.stderr)


class FaultyDisks(ReplicaCase):
    has_faulty_disks = True

    def test_leader_with_a_full_disk_or_failed_sync_is_replaced_and_recovers(self):
        Member(self, "n0").join()
        for fault, target in (("full", "b0"), ("fsync", "b1")):
            with self.subTest(fault):
                leader = self.leader()
                self.fault_path(leader).write_text(fault)
                request = SubmitRequest(
                    commands.RequestPermits(0, "operator", new_request_id(), "executor", (target,))
                )
                self.assertEqual(self.operator.send(request, LONG).permits[0][1], target)
                self.wait_for(lambda name=leader: self.look("status")["keepers"][name].get("silent_s", 0) > 1)
                self.assertNotEqual(self.leader(), leader)
                self.fault_path(leader).unlink()
                self.wait_for(lambda name=leader: self.look("status")["keepers"][name].get("silent_s", 0) < 1)
                self.assertIsNone(self.running[leader].poll(), "the replica process must not exit")
        self.assertEqual({row["target"] for row in self.look("permits")}, {"b0", "b1"})

    def test_granted_permits_survive_torn_and_lost_writes(self):
        Member(self, "n0").join()
        for fault, target in (("torn", "b0"), ("lost", "b1")):
            with self.subTest(fault):
                leader = self.leader()
                self.fault_path(leader).write_text(fault)
                request = SubmitRequest(
                    commands.RequestPermits(0, "operator", new_request_id(), "executor", (target,))
                )
                self.assertEqual(self.operator.send(request, LONG).permits[0][1], target)
                self.assertEqual(self.running[leader].wait(LONG), -9)
                self.start_replica(leader)
        self.assertEqual({row["target"] for row in self.look("permits")}, {"b0", "b1"})


class SingleReplica(ReplicaCase):
    replicas = 1

    def test_single_replica_grants_permits(self):
        Member(self, "n0").join()
        self.assertEqual(self.run_cluster_command("drain", "b0").returncode, 0)


class OfferedLoad(ReplicaCase):
    """Commands for offered load and manual admission cuts, and gossip peers, with a real replica."""

    replicas = 1
    limits = ('<budget name="probes" per-second="100" nodes="4"/>',
              '<zones sheds="on" news="on"><region name="r"><zone name="z0"/></region></zones>')  # fmt: skip

    def test_load_command_lists_offered_load_and_manual_cut_reaches_nodes(self):
        node = Member(self, "n0")
        demand_by_weight = {"any": {1000: 30_000, 5000: 12_000}}
        node.join()

        def offered_load() -> dict:
            """Send a digest with the leader's timestamp, and return the offered load of the zone."""
            leader_timestamp = node.send_heartbeat(zone="z0").leader_timestamp
            digest = ObservationDigest(
                node.sequence_number,
                "z0",
                {"any": 42_000},
                {"z0": LocationObservation(6, 24_000, 0, 20)},
                demand_by_weight=demand_by_weight,
                slots_occupied=20_000,
                slots_served=20_000,
                slots_allotted=40_000,
                admitted=50,
                rejected_locally=5,
            )
            node.send_heartbeat(zone="z0", digest=digest, leader_timestamp=leader_timestamp)
            return self.look("admission")["offered"].get("z0")

        self.wait_for(offered_load)
        load = self.run_cluster_command("load")
        self.assertIn("nothing is cut", load.stdout, load.stderr)
        self.assertIn("z0 offers 42 slots of jobs: 12 worth 5, 30 worth 1", load.stdout)
        self.assertIn("probes: 100 a second", load.stdout)
        self.assertEqual(self.run_cluster_command("cut", "set").returncode, 2, "--below is required")
        self.assertEqual(
            self.run_cluster_command("cut", "set", "--below", "3").returncode, 1, "--reason is required"
        )
        self.assertEqual(
            self.run_cluster_command("cut", "set", "--below", "3", "--reason", "storm").returncode, 0
        )
        self.wait_for(lambda: node.send_heartbeat() and node.orders.admission_threshold.weight == 3000)
        self.assertIn("CUT: what is worth less than 3", self.run_cluster_command("load").stdout)
        self.assertEqual(self.run_cluster_command("cut", "clear").returncode, 0)
        self.wait_for(lambda: node.send_heartbeat() and node.orders.admission_threshold.weight < 0)

    def test_membership_epoch_grows_with_members_and_peers_need_an_address(self):
        first = Member(self, "n0")
        first.join()
        self.wait_for(lambda: first.send_heartbeat() and first.orders.membership_epoch)
        previous_epoch = first.orders.membership_epoch
        second = Member(self, "n1")
        second.join()
        self.wait_for(lambda: first.send_heartbeat() and first.orders.membership_epoch > previous_epoch)
        self.assertEqual(self.look("peers"), {}, "neither member has reported an address")


if __name__ == "__main__":
    unittest.main()
