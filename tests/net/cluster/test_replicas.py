"""Real replicas: bootstrap, a leader lost, disks lost, old or failing, restore, and operators' commands."""

import json
import shutil
import unittest

from cedarmill.cluster.messages import ReadRequest, SubmitRequest
from cedarmill.cluster.observations.digest import LocationObservation, ObservationDigest
from cedarmill.cluster.state_machine import commands
from cedarmill.net.cluster.operator import NoReplicaError, OperatorClient, new_id
from tests.support.replica_case import LONG, Member, ReplicaCase, cli


class Cluster(ReplicaCase):
    def test_drains_by_the_command_with_exit_codes_and_json(self):
        node = Member(self, "n0")
        node.join()
        dry = self.fleet("drain", "b0", "b3", "b9", "--dry-run")
        self.assertEqual(dry.returncode, 1, dry.stdout)
        for words in ("b0: would be granted", "b3: would wait", "b9: would be refused no executor"):
            self.assertIn(words, dry.stdout)
        self.assertEqual(self.fleet("drain", "b0").returncode, 0)
        waits = self.fleet("--json", "drain", "b3")
        self.assertEqual((waits.returncode, json.loads(waits.stdout)[0]["state"]), (4, "waiting"))
        self.assertEqual(self.fleet("drain", "b0").returncode, 1)
        node.beat()
        self.assertEqual(set(node.orders.excluded_executors), {"b0"})
        node.clear()
        self.wait_for(lambda: self.look("permits")[0]["drained"])
        self.assertIn("drained", self.fleet("permits").stdout)
        self.assertEqual(self.fleet("undrain", "b0").returncode, 0)
        self.wait_for(lambda: self.look("permits")[1]["state"] == "granted")
        for words, said in (
            ("status", "leader k"),
            ("members", "n0"),
            ("targets", "b5"),
            ("limits", "executor per"),
            ("log", "drained"),
        ):
            self.assertIn(said, self.fleet(words).stdout)
        self.assertEqual(self.fleet("undrain", "b9").returncode, 1)
        self.assertEqual(self.fleet("say", "drained", "b3").returncode, 2)
        self.assertEqual(self.fleet("say", "drained", "b3", "--reason", "seen").returncode, 0)

    def test_a_release_of_what_no_supervisor_runs_is_refused_with_the_reason(self):
        done = self.fleet("release", "plan", "--version", "v2", "--group", "n0")
        self.assertEqual((done.returncode, done.stdout), (1, "no steward runs a unit of the name n0\n"))
        self.assertEqual(self.fleet("release", "status", "7").returncode, 1)
        self.assertEqual(
            self.fleet("release", "plan", "--version", "v2", "--group", "n0", "--bake", "5").returncode, 2
        )

    def test_a_permit_that_is_asked_for_by_no_number_is_not_found(self):
        Member(self, "n0").join()
        self.assertEqual(self.fleet("drain", "b0").returncode, 0)
        self.assertEqual(self.look("permits", "b0"), [])
        self.assertEqual(self.look("permits", "1")[0]["target"], "b0")

    def test_the_leader_is_killed_and_the_same_request_again_has_the_same_outcome(self):
        node = Member(self, "n0")
        node.join()
        ask = SubmitRequest(commands.RequestPermits(0, "operator", new_id(), "executor", ("b0", "b1", "b2")))
        first = self.operator.ask(ask, LONG)
        leader = self.leader()
        self.kill(leader)
        again = self.operator.ask(ask, LONG)
        self.assertEqual([row[:2] for row in again.permits], [row[:2] for row in first.permits])
        self.assertEqual(len(self.look("permits")), 3)
        self.assertNotEqual(self.leader(), leader)

    def test_all_replicas_restarted_at_once_know_what_they_knew(self):
        Member(self, "n0").join()
        self.assertEqual(self.fleet("drain", "b0").returncode, 0)
        self.kill(*self.ports)
        with self.assertRaises(NoReplicaError):
            self.operator.ask(ReadRequest("status"), 0.5)
        self.assertEqual(self.fleet("status").returncode, 3)
        for name in self.ports:
            self.start_replica(name)
        self.assertEqual(self.look("permits")[0]["target"], "b0")

    def test_a_fleet_that_falls_silent_at_once_is_not_believed_dead(self):
        """A broken switch more often than dead nodes: nothing is granted, and the operator is told why."""
        nodes = [Member(self, f"n{n}") for n in range(5)]
        leases = lambda: [node.beat().lease_us for node in nodes]  # noqa: E731
        self.wait_for(lambda: all(leases()) and not self.look("status")["halted"])
        self.wait_for(lambda: "fell silent at once" in self.look("status")["halted"])
        waits = self.fleet("drain", "b0")
        self.assertEqual(waits.returncode, 4)
        self.assertIn("nothing is granted now: 5 of 5 members fell silent at once", waits.stdout)
        self.assertEqual({row["state"] for row in self.look("members")}, {"live"}, "none is taken for dead")
        self.wait_for(lambda: [node.beat() for node in nodes] and not self.look("status")["halted"])
        self.assertEqual(self.look("permits")[0]["state"], "granted")

    def test_the_lead_is_handed_over_on_sigterm_and_by_word(self):
        before = self.leader()
        target = next(name for name in self.ports if name != before)
        self.assertEqual(self.fleet("keepers", "lead", target).returncode, 0)
        self.wait_for(lambda: self.leader() == target)
        self.running[target].terminate()
        self.assertEqual(self.running[target].wait(LONG), 0)
        self.wait_for(lambda: self.leader() != target)

    def test_a_replica_of_another_cluster_and_one_that_no_one_is_are_refused(self):
        self.wait_for(self.leader)  # a replica that has not started yet says nothing of its cluster
        stranger = OperatorClient("other", [f"127.0.0.1:{port}" for port in self.ports.values()], "x")
        with self.assertRaisesRegex(NoReplicaError, "this is cluster main, not other"):
            stranger.ask(ReadRequest("status"), 1)

    def test_bad_files_are_refused_in_one_line(self):
        path = self.folder / "bad.xml"
        good = (self.folder / "k0.xml").read_text()
        for change, words in (
            (('name="k0" data', 'name="k7" data'), "no <peer>"),
            (("<peer", "<per"), "per"),
            (('most="2"', ""), "<limit>"),
            (('listen="127.0.0.1', 'listen="local'), "ADDRESS:PORT"),
        ):
            path.write_text(good.replace(*change))
            done = cli("keeper", "-c", str(path))
            self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
            self.assertIn(words, done.stderr)
        done = self.init("k0")
        self.assertEqual(done.returncode, 2)
        self.assertIn("holds the disk main/k0/1 already", done.stderr)


class Disks(ReplicaCase):
    def replaced(self, name: str) -> None:
        """A replica on a disk that is a stranger's is refused, till an operator replaces it."""
        self.wait_for(lambda: "replace the keeper" in "".join(map(self.replica_log, self.ports)))
        self.assertEqual(self.fleet("keepers", "remove", name).returncode, 0)
        disk = self.replica_log(name).rpartition("store: disk ")[2].split(",")[0]
        added = self.fleet(
            "keepers", "add", name, "--address", f"127.0.0.1:{self.ports[name]}", "--disk", disk
        )
        self.assertEqual(added.returncode, 0, added.stdout + added.stderr)
        self.wait_for(lambda: self.look("status")["keepers"][name]["votes"])

    def test_an_empty_disk_under_a_known_name_is_a_stranger_s_till_it_is_replaced(self):
        Member(self, "n0").join()
        name = next(name for name in self.ports if name != self.leader())
        self.kill(name)
        self.wipe(name)
        self.start_replica(name)
        self.wait_for(lambda: "its disk is empty" in self.replica_log(name))
        self.replaced(name)
        other = next(one for one in self.ports if one not in (name, self.leader()))
        self.kill(other)  # now the new one is needed
        self.assertEqual(self.fleet("drain", "b0").returncode, 0)

    def test_an_old_copy_of_a_disk_is_refused(self):
        name = next(name for name in self.ports if name != self.leader())
        self.kill(name)
        shutil.copytree(self.folder / name, self.folder / "old")
        for start in ("start 3,", "start 4,"):  # the first formatted it; the others see each
            self.start_replica(name)
            self.wait_for(
                lambda start=start: "follower, leader k" in self.replica_log(name).partition(start)[2]
            )
            self.kill(name)
        self.wipe(name)
        shutil.copytree(self.folder / "old", self.folder / name)
        self.start_replica(name)
        self.wait_for(lambda: "old copy of its disk" in "".join(map(self.replica_log, self.ports)))
        self.assertEqual(self.fleet("status").returncode, 0)

    def test_all_are_lost_and_restored_from_a_backup_with_old_grants_counted_as_out(self):
        node = Member(self, "n0")
        node.join()
        self.assertEqual(self.fleet("drain", "b0").returncode, 0)
        backup = self.folder / "fleet.backup"
        self.assertEqual(self.fleet("backup", str(backup)).returncode, 0)
        self.assertEqual(self.fleet("drain", "b1").returncode, 0)  # granted after the backup
        node.beat()
        self.assertEqual(set(node.orders.excluded_executors), {"b0", "b1"})
        epoch = node.orders.epoch
        self.kill(*self.ports)
        for name in self.ports:
            self.wipe(name)
            self.assertEqual(self.init(name, "--restore", str(backup)).returncode, 0)
            self.start_replica(name)
        self.wait_for(
            lambda: (
                node.beat(
                    held_grants={f"executor:{n}": e for n, e in node.orders.excluded_executors.items()}
                ).lease_us
                and len(node.orders.excluded_executors) == 2
                and node.orders.epoch > epoch
            )
        )
        states = {row["target"]: row["state"] for row in self.look("permits")}
        self.assertEqual(states, {"b0": "lost", "b1": "lost"})
        self.assertEqual(self.look("status")["generation"], 2)
        self.assertEqual(self.fleet("drain", "b2").returncode, 4, "two are out")

    def test_a_torn_backup_is_refused(self):
        backup = self.folder / "fleet.backup"
        self.assertEqual(self.fleet("backup", str(backup)).returncode, 0)
        backup.write_bytes(backup.read_bytes()[:-3])
        self.kill("k0")
        self.wipe("k0")
        done = self.init("k0", "--restore", str(backup))
        self.assertEqual(done.returncode, 2)
        self.assertIn("fleet.backup: torn or damaged", done.stderr)


class FaultyDisks(ReplicaCase):
    faulty = True

    def test_a_full_disk_and_a_failed_sync_stop_that_replica_s_promises_till_the_disk_is_well(self):
        Member(self, "n0").join()
        for fault, target in (("full", "b0"), ("fsync", "b1")):
            with self.subTest(fault):
                leader = self.leader()
                self.fault(leader).write_text(fault)
                ask = SubmitRequest(commands.RequestPermits(0, "operator", new_id(), "executor", (target,)))
                self.assertEqual(self.operator.ask(ask, LONG).permits[0][1], target)
                self.wait_for(lambda name=leader: self.look("status")["keepers"][name].get("silent_s", 0) > 1)
                self.assertNotEqual(self.leader(), leader)
                self.fault(leader).unlink()
                self.wait_for(lambda name=leader: self.look("status")["keepers"][name].get("silent_s", 0) < 1)
                self.assertIsNone(self.running[leader].poll(), "the same process")
        self.assertEqual({row["target"] for row in self.look("permits")}, {"b0", "b1"})

    def test_a_torn_tail_and_lost_writes_leave_what_was_promised(self):
        Member(self, "n0").join()
        for fault, target in (("torn", "b0"), ("lost", "b1")):
            with self.subTest(fault):
                leader = self.leader()
                self.fault(leader).write_text(fault)
                ask = SubmitRequest(commands.RequestPermits(0, "operator", new_id(), "executor", (target,)))
                self.assertEqual(self.operator.ask(ask, LONG).permits[0][1], target)
                self.assertEqual(self.running[leader].wait(LONG), -9)
                self.start_replica(leader)
        self.assertEqual({row["target"] for row in self.look("permits")}, {"b0", "b1"})


class One(ReplicaCase):
    replicas = 1

    def test_one_replica_alone_agrees_with_itself(self):
        Member(self, "n0").join()
        self.assertEqual(self.fleet("drain", "b0").returncode, 0)


class Loads(ReplicaCase):
    """What operators see of overload, and a cut by hand, over a real replica."""

    replicas = 1
    limits = ('<budget name="probes" per-second="100" nodes="4"/>',
              '<zones sheds="on" news="on"><region name="r"><zone name="z0"/></region></zones>')  # fmt: skip

    def test_load_tells_who_offers_and_a_cut_by_hand_reaches_nodes_and_ends(self):
        node = Member(self, "n0")
        worths = {"any": {1000: 30_000, 5000: 12_000}}
        node.join()

        def offered() -> dict:
            """One more digest by the leader's own stamp, and what it comes to."""
            stamp = node.beat(zone="z0").leader_timestamp
            digest = ObservationDigest(
                node.seq,
                "z0",
                {"any": 42_000},
                {"z0": LocationObservation(6, 24_000, 0, 20)},
                demand_by_weight=worths,
                slots_occupied=20_000,
                slots_served=20_000,
                slots_allotted=40_000,
                admitted=50,
                rejected_locally=5,
            )
            node.beat(zone="z0", digest=digest, leader_timestamp=stamp)
            return self.look("admission")["offered"].get("z0")

        self.wait_for(offered)
        told = self.fleet("load")
        self.assertIn("nothing is cut", told.stdout, told.stderr)
        self.assertIn("z0 offers 42 slots of jobs: 12 worth 5, 30 worth 1", told.stdout)
        self.assertIn("probes: 100 a second", told.stdout)
        self.assertEqual(self.fleet("cut", "set").returncode, 2, "below what?")
        self.assertEqual(self.fleet("cut", "set", "--below", "3").returncode, 1, "a reason is owed")
        self.assertEqual(self.fleet("cut", "set", "--below", "3", "--reason", "storm").returncode, 0)
        self.wait_for(lambda: node.beat() and node.orders.admission_cut.weight == 3000)
        self.assertIn("CUT: what is worth less than 3", self.fleet("load").stdout)
        self.assertEqual(self.fleet("cut", "clear").returncode, 0)
        self.wait_for(lambda: node.beat() and node.orders.admission_cut.weight < 0)

    def test_who_shares_news_is_told_by_epoch_and_asked_for_once(self):
        first = Member(self, "n0")
        first.join()
        self.wait_for(lambda: first.beat() and first.orders.membership_epoch)
        before = first.orders.membership_epoch
        second = Member(self, "n1")
        second.join()
        self.wait_for(lambda: first.beat() and first.orders.membership_epoch > before)
        self.assertEqual(self.look("peers"), {}, "neither has told an address")


if __name__ == "__main__":
    unittest.main()
