"""A screen that shows releases as they go, till they have ended or halted, or q is pressed."""

from collections.abc import Callable, Iterator, Sequence

from textual.app import App, ComposeResult
from textual.widgets import Footer, Header, Static

EVERY_S = 0.5


class ReleaseScreen(App[None]):
    """One screen, asked anew twice a second."""

    BINDINGS = [("q", "quit", "Leave")]
    TITLE = "cedarmill fleet release"

    def __init__(
        self, found: Callable[[], list[dict]], lines: Callable[[dict], Iterator[str]], ends: Sequence[str]
    ) -> None:
        super().__init__()
        self.found, self.lines, self.ends = found, lines, ends
        self.body = Static("", markup=False)

    def compose(self) -> ComposeResult:
        yield Header()
        yield self.body
        yield Footer()

    def on_mount(self) -> None:
        self.look()
        self.set_interval(EVERY_S, self.look)

    def look(self) -> None:
        """Ask, and show; leave when all have come to an end."""
        rows = self.found()
        self.body.update("\n".join(line for one in rows for line in self.lines(one)) or "no release")
        if rows and all(one["state"] in self.ends for one in rows):
            self.exit()


def watch_releases(
    found: Callable[[], list[dict]], lines: Callable[[dict], Iterator[str]], ends: Sequence[str]
) -> None:
    """Show till the end."""
    ReleaseScreen(found, lines, ends).run()
