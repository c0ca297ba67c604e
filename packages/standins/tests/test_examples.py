"""The examples that the docs lead a newcomer through are valid."""

from pathlib import Path

from wharf_control.folder_commands import check
from wharf_daemon.main import entry, sidecar

EXAMPLES = Path(__file__).parents[3] / "examples"


def test_settings_are_valid():
    assert entry(EXAMPLES / "entry.json", check=True) == 0
    assert sidecar(EXAMPLES / "sidecar.json", check=True) == 0


def test_folder_is_valid():
    assert check(EXAMPLES / "folder") == 0
