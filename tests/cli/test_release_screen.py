"""The release screen shows progress, and closes at the end of the releases or on a key."""

import unittest

from cedarmill.cli.cluster.release_screen import ReleaseScreen
from cedarmill.cli.cluster.releases import END_STATES, release_lines


def release_view(state: str) -> dict:
    steps = [{"unit": "node-0", "state": "new"}, {"unit": "node-1", "state": "changing"}]
    why = ["1.0 start: by operator"]
    return {"id": 7, "state": state, "age_s": 3, "group": 1, "steps": steps, "why": why,
            "plan": {"version": "v2", "groups": [["node-0"], ["node-1"]]}, "new": [40, 1, 0, 0],
            "rest": [400, 2, 0, 1]}  # fmt: skip


class ReleaseScreenTest(unittest.IsolatedAsyncioTestCase):
    async def test_screen_shows_the_steps_and_closes_at_the_end(self):
        rows = [release_view("running")]
        app = ReleaseScreen(lambda: rows, release_lines, END_STATES)
        async with app.run_test() as pilot:
            await pilot.pause()
            text = str(app.body.render())
            for expected in (
                "7 of v2: running",
                "group 2 of 2",
                "changing: node-1",
                "new: 40 jobs, 1 failed",
            ):
                self.assertIn(expected, text)
            self.assertTrue(app.is_running)
            rows[0] = release_view("done")
            app.show_releases()
            self.assertIsNotNone(app._exit)

    async def test_key_q_closes_the_screen(self):
        app = ReleaseScreen(lambda: [release_view("running")], release_lines, END_STATES)
        async with app.run_test() as pilot:
            await pilot.press("q")
            await pilot.pause()
            self.assertTrue(app._exit)


if __name__ == "__main__":
    unittest.main()
