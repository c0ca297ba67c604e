"""The command that takes all slopes and writes the table of docs/CAPACITY.md."""

from pathlib import Path

from wharf_standins.slopes.live_slopes import live_slopes
from wharf_standins.slopes.pure_slopes import pure_slopes
from wharf_standins.slopes.quiet import log_only_warnings
from wharf_standins.slopes.table import replace_table

__all__ = ["slopes"]


def slopes(*, page: Path = Path("docs/CAPACITY.md")):
    """Measure what each unit of load costs and write the table.

    :param page: the page whose generated block is replaced
    """
    log_only_warnings()
    replace_table(page, [*pure_slopes(), *live_slopes()])
