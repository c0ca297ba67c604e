"""The documented table of result codes lists every code with its status."""

import re
from pathlib import Path

from wharf_coordination import Code
from wharf_daemon.entry.http_status import http_status

TABLE = Path(__file__).parents[3] / "docs" / "RESULT-CODES.md"
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\d+|–) \|", re.MULTILINE)
FIRST_OPERATORS_CODE = 4000


def test_table_lists_every_code_with_its_status():
    rows = {
        int(number): (name, status)
        for number, name, status in ROW.findall(TABLE.read_text())
    }
    assert rows == {int(code): (code.label, _status(code)) for code in Code}


def _status(code):
    return "–" if code >= FIRST_OPERATORS_CODE else str(http_status(code))
