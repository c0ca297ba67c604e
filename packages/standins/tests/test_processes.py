"""A request through entry, sidecar and upstream in separate processes."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from contextlib import ExitStack, contextmanager

import pytest

from wharf_standins.reserved_addresses import ReservedAddresses

START_SECONDS = 20


@contextmanager
def process(*arguments):
    running = subprocess.Popen([sys.executable, "-m", *arguments])
    try:
        yield running
    finally:
        running.send_signal(signal.SIGTERM)
        assert running.wait(START_SECONDS) == 0


def write(path, value):
    path.write_text("// written by a test\n" + json.dumps(value))
    return str(path)


def until_ready(url):
    limit = time.monotonic() + START_SECONDS
    while time.monotonic() < limit:
        try:
            return urllib.request.urlopen(url, timeout=1).read()
        except (urllib.error.URLError, OSError):
            time.sleep(0.05)
    raise AssertionError(f"{url} not ready")


@pytest.fixture
def entry_url(tmp_path):
    """Start platform, upstream, sidecar and entry; apply a configuration folder."""
    names = ("platform", "engine", "link", "link_ops", "entry", "entry_ops")
    addresses = ReservedAddresses()
    at = {name: addresses.take() for name in names}
    platform_url = f"http://{at['platform']}"
    common = {"data_centre": "dc-1", "platform": platform_url}
    sidecar = common | {
        "name": "sidecar-1",
        "listen": at["link"],
        "operators_listen": at["link_ops"],
        "upstream": "model-1",
        "upstream_url": f"http://{at['engine']}",
    }
    entry = common | {
        "name": "entry-1",
        "drain_delay": 0.0,
        "listen": at["entry"],
        "operators_listen": at["entry_ops"],
    }
    folder = tmp_path / "folder"
    folder.mkdir()
    write(
        folder / "10-all.json",
        {
            "data_centres": {"dc-1": {}},
            "customers": {"acme": {}},
            "pools": {"model": {}},
            "upstreams": {
                "model-1": {
                    "pool": "model",
                    "data_centre": "dc-1",
                    "address": at["link"],
                }
            },
            "pipelines": {"ask": {"stages": [{"name": "answer", "pool": "model"}]}},
        },
    )
    with ExitStack() as stack:
        stack.callback(addresses.release)
        start = lambda *words: stack.enter_context(process(*words))  # noqa: E731
        start("wharf_standins", "platform", "--listen", at["platform"])
        start("wharf_standins", "engine", "model-1", "dc-1", "--listen", at["engine"])
        start("wharf_daemon", "sidecar", write(tmp_path / "sidecar.json", sidecar))
        start("wharf_daemon", "entry", write(tmp_path / "entry.json", entry))
        until_ready(f"http://{at['entry_ops']}/livez")
        command = ("wharf_control", "apply", str(folder), "--platform", platform_url)
        subprocess.run([sys.executable, "-m", *command], check=True, env=os.environ)
        until_ready(f"http://{at['entry_ops']}/readyz")
        yield f"http://{at['entry']}"


def test_request_crosses_separate_processes(entry_url):
    request = urllib.request.Request(
        f"{entry_url}/v1/pipelines/ask",
        data=b'{"note": 3}',
        headers={"Customer": "acme"},
    )
    limit = time.monotonic() + START_SECONDS
    while time.monotonic() < limit:
        try:
            with urllib.request.urlopen(request, timeout=5) as response:
                assert json.load(response)["echo"] == {"note": 3}
                return
        except urllib.error.HTTPError as error:
            assert json.load(error)["ran"] == "no"
            time.sleep(0.05)
    raise AssertionError("no answer")
