"""The disk of a replica of a run: formatted, put in and taken out, and the faults that befall it."""

import asyncio
import contextlib
import shutil
import sys
from dataclasses import dataclass
from pathlib import Path

from cedarmill.lab.cluster.disks import flip_bit

OWN_DISK = "own"  # any other word of a scenario: an empty one
FLIPPED_BYTE = 3  # before the end of the log


@dataclass(frozen=True, slots=True)
class ReplicaDisk:
    """The files of one replica, all in one folder."""

    folder: Path

    @property
    def data(self) -> Path:
        """The directory of its store."""
        return self.folder / "data"

    @property
    def settings(self) -> Path:
        """Its settings file."""
        return self.folder / "keeper.xml"

    @property
    def control(self) -> Path:
        """The file that says what befalls its next write or sync."""
        return self.folder / "fault"

    async def format(self) -> None:
        """Make the store; raises OSError."""
        command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", str(self.settings), "--init"]
        child = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.DEVNULL)
        if await child.wait():
            raise OSError(f"{self.folder.name}: its disk could not be formatted")

    def put_in(self, disk: str) -> None:
        """Before a start: the disk that the scenario names."""
        if disk != OWN_DISK:
            shutil.rmtree(self.data, ignore_errors=True)

    def begin_fault(self, fault: str) -> None:
        """It befalls the next write or sync; a flipped bit is there at the next start."""
        if fault == "flip":
            with contextlib.suppress(OSError):
                flip_bit(self.data / "log", FLIPPED_BYTE)
        else:
            self.control.write_text(fault)

    def heal(self) -> None:
        """The disk is well again."""
        self.control.unlink(missing_ok=True)
