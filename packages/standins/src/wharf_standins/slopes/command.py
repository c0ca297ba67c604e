"""Command that measures all slopes and writes the table of docs/CAPACITY.md."""

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
    pure = pure_slopes()
    replace_table(page, pure)
    replace_table(page, [*pure, *live_slopes()])
