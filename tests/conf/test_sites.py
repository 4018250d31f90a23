"""The sites of deploy/sites: their settings load, serve, and leave no trace in the next site's."""

import json
import tomllib
import unittest
from pathlib import Path
from unittest import mock

from cedarmill.core.dispatch import Dispatch
from cedarmill.core.timers import Timers
from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from cedarmill.decisions.settings import settings_from_json
from cedarmill.net.clients.server import ClientServer
from cedarmill.values import DeadlineOptions
from tests.support.node_case import NodeCase

SITES = Path(__file__).parents[2] / "deploy/sites"
NAMES = sorted(path.stem for path in SITES.glob("*.toml"))
WORDS = json.loads((SITES / "wire.json").read_text())["init"]["words"]
MS = 1000  # us


def operator_settings(name: str) -> dict:
    """The settings object that the operator's platform makes of a site."""
    site = tomllib.loads((SITES / f"{name}.toml").read_text())
    (tier,), allow, family = site["tier"], site["allow"], site["fam"]
    kinds = tier["kind"]
    return {
        "instances": site["scale"]["balancers"][1],
        "zone": 0,
        "localities": site["net"]["zones"],
        "kinds": [kind["name"] for kind in kinds],
        "quantum": site["day"]["tick_ms"] * MS,
        "registry_mode": WORDS[site["discovery"]["mode"]],
        "value_by": site["load"]["worth_by"],
        "over_share_worth": site["load"].get("over_share_worth", 1.0),
        "tenants": [{**tenant, "quota_per_s": 40.0 * tenant["share"]} for tenant in site.get("tenant", [])],
        "report": {
            "names": [WORDS.get(field, field) for field in tier["report"]["fields"]],
            "via": WORDS[tier["report"]["how"]],
        },
        "rules": {
            "answer_slack": 8 * MS,
            "ask_within": 10_000 * MS,
            "cold": int(max(kind["cold_s"][1] for kind in kinds) * 1000 * MS),
            "cold_share": min(kind["cold_from"][0] for kind in kinds),
            "fall_multiple": site["rules"]["fall_multiple"],
            "overload_for": site["rules"]["fall_ms"] * MS,
            "stop_sending_within": site["rules"]["drain_grace_ms"] * MS,
        },
        "caps": {
            "cancelling": allow["cancel"],
            "conn_idle": tier["conn"]["idle_s"] * 1000 * MS,
            "connect_timeout": tier["conn"]["connect_timeout_ms"] * MS,
            "probes": allow["probes"],
            "max_retry_after": site["clients"].get("max_retry_after_ms", 0) * MS,
            "may_duplicate": allow["second_copies"],
            "retry_after": allow["retry_after"],
            "try_limit": allow["max_attempts"],
        },
        "family_info": {
            "report_x0": "free slots",
            "report_x1": "free memory",
            "tells_start": family["tells_start"],
        },
        "request_classes": [
            {
                "name": spec["name"],
                "value": float(spec["worth"]),
                "late_value": spec["late_worth"],
                "aim": spec["aim_ms"] * MS,
                "hard_limit": spec["deadline_ms"] * MS,
                "repeat": WORDS.get(spec["effect"], spec["effect"]),
                "group": spec.get("group", ""),
                "repeat_window": spec.get("window_ms", 0) * MS,
            }
            for spec in site["class"]
        ],
    }


def played(settings: api.Settings) -> list:
    """What a new balancer does with a job of each class and tenant, on two executors, one of them cold."""
    balancer = Balancer(settings, seed=7)
    entries = [
        api.EndpointEntry(1, api.ExecutorState.READY),
        api.EndpointEntry(2, api.ExecutorState.READY, started_at=900_000),
    ]
    done = [balancer.handle(1_000_000, api.EndpointList(api.EndpointListKind.CACHED, entries))]
    for number in range(1, 41):
        index = number % len(settings.classes)
        job = api.RequestArrived(number, index, 2_000_000, tenant=number % 4, hint_us=100 * number)
        done.append(balancer.handle(1_000_000 + number, job))
        ended = api.AttemptEnded(number, 0, 1, api.Outcome.OK, final=True)
        done.append(balancer.handle(1_000_500 + number, ended))
    return done


class Settings(unittest.TestCase):
    def test_each_site_fills_the_settings_with_its_own_figures(self):
        self.assertGreaterEqual(len(NAMES), 2)
        for name in NAMES:
            site = tomllib.loads((SITES / f"{name}.toml").read_text())
            settings = settings_from_json(operator_settings(name))
            with self.subTest(site=name):
                classes = [(spec.name, spec.effect, spec.deadline_us) for spec in settings.classes]
                wanted = [(spec["name"], spec["effect"], spec["deadline_ms"] * MS) for spec in site["class"]]
                self.assertEqual(classes, wanted)
                self.assertEqual(
                    [t.name for t in settings.tenants], [t["name"] for t in site.get("tenant", [])]
                )
                self.assertEqual(list(settings.zones), site["net"]["zones"])
                self.assertEqual(settings.on_request_discovery, site["discovery"]["mode"] == "ask")
                self.assertEqual(settings.can_probe, site["allow"]["probes"])

    def test_the_sites_differ_wherever_code_could_be_fitted(self):
        all_settings = [settings_from_json(operator_settings(name)) for name in NAMES]
        for differs in (
            lambda s: len(s.classes),
            lambda s: bool(s.tenants),
            lambda s: len(s.zones) > 1,
            lambda s: s.on_request_discovery,
            lambda s: s.report_by_probe,
            lambda s: s.may_duplicate,
            lambda s: s.can_cancel,
            lambda s: s.tells_start,
        ):
            self.assertEqual(len(set(map(differs, all_settings))), 2)

    def test_a_site_leaves_no_trace_in_the_next_one(self):
        """Its actions after another site's in one process are those of a process that saw no other."""
        first = {name: played(settings_from_json(operator_settings(name))) for name in NAMES}
        for name in reversed(NAMES):
            again = played(settings_from_json(operator_settings(name)))
            self.assertEqual(again, first[name])
        self.assertNotEqual(*first.values())

    def test_classes_tenants_and_deadlines_at_the_clients_side_are_the_sites_own(self):
        sides = []
        for name in NAMES:
            settings = settings_from_json(operator_settings(name))
            clients = ClientServer(mock.Mock(), settings, 8, DeadlineOptions())
            dispatch = Dispatch(Balancer(settings, 1), Timers(), mock.Mock(), mock.Mock())
            sides.append((clients, dispatch))
        for name, (clients, dispatch) in zip(NAMES, sides, strict=True):
            settings = settings_from_json(operator_settings(name))
            self.assertEqual(list(clients.classes), [spec.name for spec in settings.classes])
            self.assertEqual(list(clients.tenants), [tenant.name for tenant in settings.tenants])
            self.assertEqual(clients.deadlines, [spec.deadline_us for spec in settings.classes])
            self.assertEqual(len(dispatch.deadline_tracker.mean_running_us), len(settings.classes))


class Serving(NodeCase):
    """The real program under the settings of a site serves each of its classes."""

    site = NAMES[0]

    def config(self) -> dict:
        return {**super().config(), "settings": operator_settings(self.site)}

    def test_each_class_is_served(self):
        for spec in operator_settings(self.site)["request_classes"]:
            client = self.client().ask(spec["name"], **{"X-Caller": "nobody"})
            asked = self.executors[0].next_request()
            while asked.method == "GET":
                asked.connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                asked = self.executors[0].next_request()
            self.assertEqual(asked.headers["X-Call-Class"], spec["name"])
            asked.done(spec["name"])
            self.assertEqual(client.answer(), (200, spec["name"].encode()))


class ServingAnother(Serving):
    site = NAMES[1]


if __name__ == "__main__":
    unittest.main()
