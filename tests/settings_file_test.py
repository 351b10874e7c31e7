"""Parsing and validation of the platform's settings file."""

from datetime import timedelta

import pytest
import settings_file

from dockmux.runtime.settings import SettingsError
from tests.standins.fleet import settings_lines


def _write(*, tmp_path, monkeypatch, data: bytes) -> None:
    path = tmp_path / "settings.conf"
    path.write_bytes(data)
    monkeypatch.setenv("DOCKMUX_CONFIG", str(path))


def test_settings_are_parsed_and_unknown_lines_are_ignored(tmp_path, monkeypatch):
    lines = settings_lines(name="edge-a", zone=0, machine="edge")
    text = "\n".join(["# a comment", "", "not a line", *(f"{name} = {value}" for name, value in lines.items())])
    _write(tmp_path=tmp_path, monkeypatch=monkeypatch, data=text.encode())
    read = settings_file.read()
    assert read == lines
    settings = settings_file.settings(lines=read)
    assert (settings.name, settings.site, settings.address) == ("edge-a", "hill", "10.1.0.2:7720")
    assert settings.http == "10.1.0.2:8161"
    assert settings.seeds == ["10.1.0.1:7720", "10.2.0.1:7720", "10.3.0.1:7720"]
    assert (settings.cores, settings.copies, settings.may_found, settings.data_folder) == (3, 2, True, "")


def test_a_core_gets_its_control_address_and_data_folder():
    settings = settings_file.settings(lines=settings_lines(name="core-a", zone=1, machine="core", bootstrap="false"))
    assert (settings.http, settings.data_folder, settings.may_found) == ("10.2.0.1:8166", "/data", False)
    wide = settings_file.settings(lines=settings_lines(name="core-a", zone=1, machine="core", **{"survive.nodes": "2"}))
    assert (wide.cores, wide.copies) == (5, 3)


def test_bounds_are_converted_to_durations():
    deployment = settings_file.deployment(lines=settings_lines(name="edge-a", zone=0, machine="edge"))
    assert deployment.retry_ratio == 0.2 and deployment.retry_window == timedelta(seconds=10)
    assert deployment.drain == timedelta(seconds=3) and deployment.list_address == "10.200.0.9:8169"
    assert (deployment.http_address, deployment.readyz_address) == ("10.1.0.2:8161", "10.1.0.2:8167")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("nodename", ""),
        ("ip", ""),
        ("az", ""),
        ("seeds", ""),
        ("port_range", ""),
        ("ip", "10.1.0"),
        ("ip", "edge.example"),
        ("seeds", "10.1.0.1"),
        ("seeds", "nowhere:80"),
        ("port_range", "many"),
        ("port_range", "99999,99999"),
        ("listen.http", "10.1.0.2"),
        ("survive.nodes", "some"),
        ("survive.nodes", "nan"),
        ("survive.nodes", "inf"),
        ("bounds.grace_s", "8s"),
        ("bounds.grace_s", "inf"),
    ],
)
def test_an_invalid_setting_is_reported_on_one_line_with_its_name(name, value):
    lines = settings_lines(name="edge-a", zone=0, machine="edge") | {name: value}
    with pytest.raises(SettingsError) as caught:
        settings_file.settings(lines=lines)
    text = str(caught.value)
    assert "\n" not in text and "found" in text and "allowed" in text


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("bounds.drain_ms", "soon"),
        ("bounds.drain_ms", "nan"),
        ("bounds.drain_ms", "inf"),
        ("bounds.drain_ms", "-5"),
        ("bounds.retry_win_s", "0"),
        ("bounds.retry_ratio", "a fifth"),
        ("bounds.retry_extra", "nan"),
        ("cloud.rate_per_s", "fast"),
    ],
)
def test_an_invalid_bound_is_reported_on_one_line_with_its_name(name, value):
    lines = settings_lines(name="edge-a", zone=0, machine="edge") | {name: value}
    with pytest.raises(SettingsError) as caught:
        settings_file.deployment(lines=lines)
    text = str(caught.value)
    assert "\n" not in text and text.startswith(name) and "found" in text and "allowed" in text


def test_an_unreadable_file_is_reported_on_one_line(tmp_path, monkeypatch):
    monkeypatch.setenv("DOCKMUX_CONFIG", str(tmp_path / "none"))
    with pytest.raises(SettingsError) as caught:
        settings_file.read()
    assert "\n" not in str(caught.value) and "DOCKMUX_CONFIG" in str(caught.value)
    monkeypatch.delenv("DOCKMUX_CONFIG")
    with pytest.raises(SettingsError):
        settings_file.read()
    _write(tmp_path=tmp_path, monkeypatch=monkeypatch, data=b"ip=\xff\xfe\n")
    with pytest.raises(SettingsError):
        settings_file.read()


@pytest.mark.parametrize(
    ("survive", "copies"), [({"nodes": "2"}, 3), ({"nodes": "0", "zones": "1"}, 2), ({"nodes": "1", "rgns": "2"}, 3)]
)
def test_tolerated_failures_leave_a_copy_and_a_majority(survive, copies):
    changed = {f"survive.{what}": count for what, count in {"zones": "0", "rgns": "0", **survive}.items()}
    read = settings_file.settings(lines=settings_lines(name="core-0", zone=0, machine="core", **changed))
    assert (read.copies, read.cores) == (copies, 2 * copies - 1)
