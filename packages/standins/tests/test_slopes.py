"""Slopes and the table of them that `make slopes` writes."""

import pytest

from wharf_standins.slopes.slope import Slope
from wharf_standins.slopes.table import BEGIN_MARK, END_MARK, replace_table

POINTS = [(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.5)]


def test_table_replaces_only_the_marked_block(tmp_path):
    page = tmp_path / "page.md"
    page.write_text(f"head\n{BEGIN_MARK}\nold\n{END_MARK}\ntail\n")
    replace_table(page, [Slope.fit("cpu", "link", "us", POINTS)])
    text = page.read_text()
    assert text.startswith("head\n") and text.endswith("tail\n")
    assert "old" not in text
    assert "| cpu | us | link | 2.15 | 0.75 |" in text


def test_page_without_marks_is_unchanged(tmp_path):
    page = tmp_path / "page.md"
    page.write_text("no marks")
    with pytest.raises(ValueError, match="expected"):
        replace_table(page, [])
    assert page.read_text() == "no marks"


def test_too_few_points_raise_error():
    with pytest.raises(ValueError, match="3 points"):
        Slope.fit("cpu", "link", "us", POINTS[:3])


def test_residual_is_a_share_of_the_largest_value():
    slope = Slope.fit("cpu", "link", "us", POINTS)
    assert slope.residual == pytest.approx(0.2 / 9.5)
