"""A terminal screen that shows the progress of releases until all are finished or q is pressed."""

from collections.abc import Callable, Iterator, Sequence

from textual.app import App, ComposeResult
from textual.widgets import Footer, Header, Static

from cedarmill.cli.cluster.console import View

REFRESH_INTERVAL_S = 0.5


class ReleaseScreen(App[None]):
    """Shows releases and reads them again every REFRESH_INTERVAL_S."""

    BINDINGS = [("q", "quit", "Leave")]
    TITLE = "cedarmill cluster release"

    def __init__(
        self,
        read_releases: Callable[[], list[View]],
        format_release: Callable[[View], Iterator[str]],
        end_states: Sequence[str],
    ) -> None:
        super().__init__()
        self.read_releases, self.format_release, self.end_states = read_releases, format_release, end_states
        self.body = Static("", markup=False)

    def compose(self) -> ComposeResult:
        """Yield the widgets of the screen from top to bottom."""
        yield Header()
        yield self.body
        yield Footer()

    def on_mount(self) -> None:
        """Show the releases and start the refresh timer."""
        self.show_releases()
        self.set_interval(REFRESH_INTERVAL_S, self.show_releases)

    def show_releases(self) -> None:
        """Read and show the releases; close the screen when all are finished."""
        releases = self.read_releases()
        self.body.update(
            "\n".join(line for release in releases for line in self.format_release(release)) or "no release"
        )
        if releases and all(release["state"] in self.end_states for release in releases):
            self.exit()


def watch_releases(
    read_releases: Callable[[], list[View]],
    format_release: Callable[[View], Iterator[str]],
    end_states: Sequence[str],
) -> None:
    """Show the releases returned by `read_releases` until all are finished."""
    ReleaseScreen(read_releases, format_release, end_states).run()
