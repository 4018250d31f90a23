"""The screen that shows releases: what it shows, and that it leaves at their end or by a key."""

import unittest

from cedarmill.cli.cluster.release_screen import ReleaseScreen
from cedarmill.cli.cluster.releases import END_STATES, release_lines


def release(state: str) -> dict:
    steps = [{"unit": "node-0", "state": "new"}, {"unit": "node-1", "state": "changing"}]
    why = ["1.0 start: by operator"]
    return {"id": 7, "state": state, "age_s": 3, "group": 1, "steps": steps, "why": why,
            "plan": {"version": "v2", "groups": [["node-0"], ["node-1"]]}, "new": [40, 1, 0, 0],
            "rest": [400, 2, 0, 1]}  # fmt: skip


class Screen(unittest.IsolatedAsyncioTestCase):
    async def test_it_shows_the_steps_and_leaves_at_the_end(self):
        rows = [release("running")]
        app = ReleaseScreen(lambda: rows, release_lines, END_STATES)
        async with app.run_test() as pilot:
            await pilot.pause()
            text = str(app.body.render())
            for words in ("7 of v2: running", "group 2 of 2", "changing: node-1", "new: 40 jobs, 1 failed"):
                self.assertIn(words, text)
            self.assertTrue(app.is_running)
            rows[0] = release("done")
            app.show_releases()
            self.assertIsNotNone(app._exit)

    async def test_a_key_leaves_it(self):
        app = ReleaseScreen(lambda: [release("running")], release_lines, END_STATES)
        async with app.run_test() as pilot:
            await pilot.press("q")
            await pilot.pause()
            self.assertTrue(app._exit)


if __name__ == "__main__":
    unittest.main()
