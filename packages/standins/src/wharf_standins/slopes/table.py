"""The generated block of docs/CAPACITY.md."""

from pathlib import Path

__all__ = ["BEGIN_MARK", "END_MARK", "render", "replace_table"]

BEGIN_MARK = "<!-- written by make slopes: begin -->"
END_MARK = "<!-- written by make slopes: end -->"
HEADER = (
    "| measured | unit | for each | slope | at none | largest residual | points |",
    "|---|---|---|---|---|---|---|",
)


def render(slopes) -> str:
    """Return the table of `slopes`, one row each."""
    return "\n".join([*HEADER, *map(_row, slopes)])


def replace_table(page: Path, slopes):
    """Write the table between the marks of `page`."""
    text = page.read_text(encoding="utf-8")
    head, begin, rest = text.partition(BEGIN_MARK)
    _, end, tail = rest.partition(END_MARK)
    if not begin or not end:
        raise ValueError(f"{page}: expected {BEGIN_MARK!r} and {END_MARK!r}")
    block = f"{begin}\n{render(slopes)}\n{end}"
    page.write_text(f"{head}{block}{tail}", encoding="utf-8")


def _row(slope):
    points = ", ".join(f"{x:g}: {value:.4g}" for x, value in slope.points)
    cells = (
        *(slope.name, slope.unit, slope.driver),
        *(f"{slope.slope:.4g}", f"{slope.base:.4g}", f"{slope.residual:.1%}", points),
    )
    return f"| {' | '.join(cells)} |"
