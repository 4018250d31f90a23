"""A screen that shows releases as they go, till they have ended or halted, or q is pressed."""

from collections.abc import Callable, Iterator, Sequence

from textual.app import App, ComposeResult
from textual.widgets import Footer, Header, Static

from cedarmill.cli.cluster.console import View

REFRESH_S = 0.5


class ReleaseScreen(App[None]):
    """One screen, asked anew twice a second."""

    BINDINGS = [("q", "quit", "Leave")]
    TITLE = "cedarmill cluster release"

    def __init__(
        self,
        read: Callable[[], list[View]],
        lines_of: Callable[[View], Iterator[str]],
        end_states: Sequence[str],
    ) -> None:
        super().__init__()
        self.read, self.lines_of, self.end_states = read, lines_of, end_states
        self.body = Static("", markup=False)

    def compose(self) -> ComposeResult:
        """The parts of the screen, from the top."""
        yield Header()
        yield self.body
        yield Footer()

    def on_mount(self) -> None:
        """Begin to read and show."""
        self.show_releases()
        self.set_interval(REFRESH_S, self.show_releases)

    def show_releases(self) -> None:
        """Read the releases and show them; leave when all have come to an end."""
        releases = self.read()
        self.body.update("\n".join(line for one in releases for line in self.lines_of(one)) or "no release")
        if releases and all(one["state"] in self.end_states for one in releases):
            self.exit()


def watch_releases(
    read: Callable[[], list[View]], lines_of: Callable[[View], Iterator[str]], end_states: Sequence[str]
) -> None:
    """Show the releases that `read` gives, till the end."""
    ReleaseScreen(read, lines_of, end_states).run()
