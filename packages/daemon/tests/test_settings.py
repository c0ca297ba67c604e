"""Settings of daemons: files with comments, overriding flags, error messages."""

import json

import pytest

from wharf_daemon.main import entry, sidecar

COMMON = {
    "name": "e-1",
    "data_centre": "dc-1",
    "listen": "127.0.0.1:7080",
    "operators_listen": "127.0.0.1:7081",
    "platform": "http://127.0.0.1:7700",
}
BAD_SETTINGS = {
    "address": ({"listen": "7080"}, "listen"),
    "peer": ({"peers": ["nowhere"]}, "peers.0"),
    "unknown key": ({"colour": 1}, "colour"),
    "infinite grace": ({"stop_grace": 1e999}, "stop_grace"),
    "long name": ({"name": "n" * 65}, "name"),
}


@pytest.fixture
def settings(tmp_path):
    def write(**fields):
        path = tmp_path / "entry.json"
        lines = (f"{json.dumps(k)}: {json.dumps(v)}" for k, v in fields.items())
        path.write_text("{ // settings\n" + ",\n".join(lines) + "}")
        return path

    return write


def test_check_accepts_good_settings(settings):
    assert entry(settings(**COMMON), check=True) == 0


@pytest.mark.parametrize(
    ("fields", "place"), BAD_SETTINGS.values(), ids=BAD_SETTINGS.keys()
)
def test_check_reports_line_and_key(settings, capsys, fields, place):
    merged = COMMON | fields
    assert entry(settings(**merged), check=True) == 2
    line = 2 + list(merged).index(next(iter(fields)))
    assert f"entry.json: line {line}: {place}: " in capsys.readouterr().err


def test_flag_overrides_the_file(settings):
    path = settings(**(COMMON | {"platform": "nowhere"}))
    assert entry(path, platform="http://127.0.0.1:1", check=True) == 0


def test_sidecar_requires_its_upstream(settings, capsys):
    assert sidecar(settings(**COMMON), check=True) == 2
    assert "upstream_url" in capsys.readouterr().err


def test_address_that_cannot_be_bound_is_reported(settings, capsys):
    path = settings(**(COMMON | {"listen": "192.0.2.1:1"}))
    assert entry(path) == 3
    assert "192.0.2.1" in capsys.readouterr().err
