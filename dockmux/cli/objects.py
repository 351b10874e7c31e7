"""Kubernetes-style objects as a way to write a configuration: turned into the same tree, checked by the same schema."""

from pathlib import Path
from typing import Any

import yaml

from dockmux.runtime import schemas

# Where each kind's spec goes in the tree; Defaults is there once and needs no name.
PLACES = {"Defaults": "defaults", "Site": "sites", "Service": "services", "Lane": "lanes"}


class BadObjects(Exception):
    """What is wrong, a line each, with file, object and path; nothing was sent."""

    def __init__(self, *, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def is_objects(*, name: str) -> bool:
    return name.endswith((".yaml", ".yml"))


def read(*, name: str) -> dict[str, Any]:
    """The tree that a file of objects, one YAML document each, amounts to."""
    try:
        documents = list(yaml.safe_load_all(Path(name).read_text()))
    except yaml.YAMLError as error:
        raise BadObjects(errors=[f"{name}: no YAML: {' '.join(str(error).split())}"]) from None
    return tree_of(file=name, documents=[document for document in documents if document is not None])


def tree_of(*, file: str, documents: list[Any]) -> dict[str, Any]:
    tree: dict[str, Any] = {"sites": {}, "services": {}, "lanes": {}}
    labels: dict[str, str] = {}
    errors = []
    for number, document in enumerate(documents, start=1):
        wrong = schemas.errors(name="object", value=document)
        if wrong:
            errors += [f"{file}: document {number}: {error['path']}: {error['error']}" for error in wrong]
            continue
        kind, named, place = document["kind"], document["metadata"]["name"], PLACES[document["kind"]]
        path = "$.defaults" if kind == "Defaults" else f"$.{place}.{named}"
        if path in labels:
            errors.append(f"{file}: {kind}/{named}: $.metadata.name: there is a {labels[path]} already")
            continue
        labels[path] = f"{kind}/{named}"
        if kind == "Defaults":
            tree["defaults"] = document["spec"]
        else:
            tree[place][named] = document["spec"]
    if not errors:
        errors = [_told(file=file, labels=labels, error=error) for error in schemas.errors(name="tree", value=tree)]
    if errors:
        raise BadObjects(errors=errors)
    return tree


def _told(*, file: str, labels: dict[str, str], error: dict[str, str]) -> str:
    """An error in the tree, as one in the object that the place came from."""
    for path, label in sorted(labels.items(), key=lambda row: -len(row[0])):
        rest = error["path"].removeprefix(path)
        if rest != error["path"] and rest[:1] in ("", ".", "["):
            return f"{file}: {label}: $.spec{rest}: {error['error']}"
    return f"{file}: all objects together: {error['path']}: {error['error']}"


GOOD = """
apiVersion: dockmux/v1
kind: Defaults
metadata: {name: defaults}
spec: {horizonMs: 8000, urgency: 3, model: catalogue-1, run: repeatable}
---
apiVersion: dockmux/v1
kind: Site
metadata: {name: freising}
spec: {horizonMs: 9000}
---
apiVersion: dockmux/v1
kind: Service
metadata: {name: catalogue, labels: {team: cataloguing}}
spec: {extraPercent: 10}
---
apiVersion: dockmux/v1
kind: Lane
metadata: {name: reconcile}
spec: {service: catalogue, urgency: 8, run: once, adapter: authority}
"""


def test_objects_become_the_tree_and_what_is_wrong_is_named_by_file_object_and_path(snapshot):
    good = list(yaml.safe_load_all(GOOD))
    assert tree_of(file="f", documents=good) == snapshot
    lane = good[3]
    told = []
    for changed in (
        [{**lane, "kind": "Route"}],
        [{**lane, "apiVersion": "dockmux/v2"}],
        [{**lane, "metadata": {}}],
        [{**lane, "metadata": {"name": "No Name"}}],
        [{**lane, "status": {}}],
        [lane],
        [{**lane, "metadata": {"name": "other"}, "spec": {"service": "catalogue", "urgency": 12, "colour": 1}}],
        [{**good[0], "metadata": {"name": "more"}}],
        ["text"],
    ):
        try:
            tree_of(file="f", documents=[*good, *changed])
        except BadObjects as bad:
            told.append(bad.errors)
    try:
        tree_of(file="f", documents=good[1:])
    except BadObjects as bad:
        told.append(bad.errors)
    assert len(told) == 10 and told == snapshot
