"""The example sites in deploy/sites: their settings load, serve requests, and share no state."""

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
SITE_NAMES = sorted(path.stem for path in SITES.glob("*.toml"))
WIRE_NAMES = json.loads((SITES / "wire.json").read_text())["init"]["words"]
US_PER_MS = 1000


def operator_settings(name: str) -> dict:
    """Return the settings object that the platform creates for a site."""
    site = tomllib.loads((SITES / f"{name}.toml").read_text())
    (tier,), allow, family = site["tier"], site["allow"], site["fam"]
    kinds = tier["kind"]
    return {
        "instances": site["scale"]["balancers"][1],
        "zone": 0,
        "localities": site["net"]["zones"],
        "kinds": [kind["name"] for kind in kinds],
        "quantum": site["day"]["tick_ms"] * US_PER_MS,
        "registry_mode": WIRE_NAMES[site["discovery"]["mode"]],
        "value_by": site["load"]["worth_by"],
        "over_share_worth": site["load"].get("over_share_worth", 1.0),
        "tenants": [{**tenant, "quota_per_s": 40.0 * tenant["share"]} for tenant in site.get("tenant", [])],
        "report": {
            "names": [WIRE_NAMES.get(field, field) for field in tier["report"]["fields"]],
            "via": WIRE_NAMES[tier["report"]["how"]],
        },
        "rules": {
            "answer_slack": 8 * US_PER_MS,
            "ask_within": 10_000 * US_PER_MS,
            "cold": int(max(kind["cold_s"][1] for kind in kinds) * 1000 * US_PER_MS),
            "cold_share": min(kind["cold_from"][0] for kind in kinds),
            "fall_multiple": site["rules"]["fall_multiple"],
            "overload_for": site["rules"]["fall_ms"] * US_PER_MS,
            "stop_sending_within": site["rules"]["drain_grace_ms"] * US_PER_MS,
        },
        "caps": {
            "cancelling": allow["cancel"],
            "conn_idle": tier["conn"]["idle_s"] * 1000 * US_PER_MS,
            "connect_timeout": tier["conn"]["connect_timeout_ms"] * US_PER_MS,
            "probes": allow["probes"],
            "max_retry_after": site["clients"].get("max_retry_after_ms", 0) * US_PER_MS,
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
                "aim": spec["aim_ms"] * US_PER_MS,
                "hard_limit": spec["deadline_ms"] * US_PER_MS,
                "repeat": WIRE_NAMES.get(spec["effect"], spec["effect"]),
                "group": spec.get("group", ""),
                "repeat_window": spec.get("window_ms", 0) * US_PER_MS,
            }
            for spec in site["class"]
        ],
    }


def run_requests(settings: api.Settings) -> list:
    """Return the actions of a new balancer for requests of each class and tenant.

    One of its two executors is in slow start.
    """
    balancer = Balancer(settings, seed=7)
    entries = [
        api.EndpointEntry(1, api.ExecutorState.READY),
        api.EndpointEntry(2, api.ExecutorState.READY, started_at=900_000),
    ]
    actions = [balancer.handle(1_000_000, api.EndpointList(api.EndpointListKind.CACHED, entries))]
    for number in range(1, 41):
        index = number % len(settings.classes)
        request = api.RequestArrived(number, index, 2_000_000, tenant=number % 4, hint_us=100 * number)
        actions.append(balancer.handle(1_000_000 + number, request))
        ended = api.AttemptEnded(number, 0, 1, api.Outcome.OK, final=True)
        actions.append(balancer.handle(1_000_500 + number, ended))
    return actions


class SiteSettings(unittest.TestCase):
    def test_settings_contain_the_values_of_each_site(self):
        self.assertGreaterEqual(len(SITE_NAMES), 2)
        for name in SITE_NAMES:
            site = tomllib.loads((SITES / f"{name}.toml").read_text())
            settings = settings_from_json(operator_settings(name))
            with self.subTest(site=name):
                classes = [(spec.name, spec.effect, spec.deadline_us) for spec in settings.classes]
                expected = [
                    (spec["name"], spec["effect"], spec["deadline_ms"] * US_PER_MS) for spec in site["class"]
                ]
                self.assertEqual(classes, expected)
                self.assertEqual(
                    [t.name for t in settings.tenants], [t["name"] for t in site.get("tenant", [])]
                )
                self.assertEqual(list(settings.zones), site["net"]["zones"])
                self.assertEqual(settings.on_request_discovery, site["discovery"]["mode"] == "ask")
                self.assertEqual(settings.can_probe, site["allow"]["probes"])

    def test_sites_differ_in_every_property_that_selects_behaviour(self):
        all_settings = [settings_from_json(operator_settings(name)) for name in SITE_NAMES]
        for property_of in (
            lambda s: len(s.classes),
            lambda s: bool(s.tenants),
            lambda s: len(s.zones) > 1,
            lambda s: s.on_request_discovery,
            lambda s: s.report_by_probe,
            lambda s: s.may_duplicate,
            lambda s: s.can_cancel,
            lambda s: s.tells_start,
        ):
            self.assertEqual(len(set(map(property_of, all_settings))), 2)

    def test_actions_do_not_depend_on_sites_run_before(self):
        """Guards against state that one balancer leaves for the next in the same process."""
        first_run = {name: run_requests(settings_from_json(operator_settings(name))) for name in SITE_NAMES}
        for name in reversed(SITE_NAMES):
            second_run = run_requests(settings_from_json(operator_settings(name)))
            self.assertEqual(second_run, first_run[name])
        self.assertNotEqual(*first_run.values())

    def test_client_server_has_the_classes_tenants_and_deadlines_of_its_site(self):
        servers = []
        for name in SITE_NAMES:
            settings = settings_from_json(operator_settings(name))
            clients = ClientServer(mock.Mock(), settings, 8, DeadlineOptions())
            dispatch = Dispatch(Balancer(settings, 1), Timers(), mock.Mock(), mock.Mock())
            servers.append((clients, dispatch))
        for name, (clients, dispatch) in zip(SITE_NAMES, servers, strict=True):
            settings = settings_from_json(operator_settings(name))
            self.assertEqual(list(clients.classes), [spec.name for spec in settings.classes])
            self.assertEqual(list(clients.tenants), [tenant.name for tenant in settings.tenants])
            self.assertEqual(clients.deadlines, [spec.deadline_us for spec in settings.classes])
            self.assertEqual(len(dispatch.deadline_tracker.mean_running_us), len(settings.classes))


class ServingFirstSite(NodeCase):
    """A node with the settings of a site serves requests of each class of the site."""

    site = SITE_NAMES[0]

    def config(self) -> dict:
        return {**super().config(), "settings": operator_settings(self.site)}

    def test_each_class_is_served(self):
        for spec in operator_settings(self.site)["request_classes"]:
            client = self.client().ask(spec["name"], **{"X-Caller": "nobody"})
            request = self.executors[0].next_request()
            while request.method == "GET":
                request.connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                request = self.executors[0].next_request()
            self.assertEqual(request.headers["X-Call-Class"], spec["name"])
            request.done(spec["name"])
            self.assertEqual(client.answer(), (200, spec["name"].encode()))


class ServingSecondSite(ServingFirstSite):
    site = SITE_NAMES[1]


if __name__ == "__main__":
    unittest.main()
