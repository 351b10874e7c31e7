"""Converts Kubernetes-style objects to the configuration tree, which the schema of the tree then validates."""

from pathlib import Path
from typing import Any

import yaml

from dockmux.runtime import schemas

# Key of the tree under which the spec of each kind is stored; Defaults is a single object without a name in the tree.
TREE_KEYS = {"Defaults": "defaults", "Site": "sites", "Service": "services", "Lane": "lanes"}


class InvalidObjects(Exception):
    """Raised before anything is sent; `errors` has one line per error with file, object and JSON path."""

    def __init__(self, *, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def is_object_file(*, name: str) -> bool:
    """Tells by its suffix whether a file holds YAML objects instead of a JSON tree."""
    return name.endswith((".yaml", ".yml"))


def read_objects(*, name: str) -> dict[str, Any]:
    """Returns the tree built from a file with one object per YAML document. Raises InvalidObjects."""
    try:
        documents = list(yaml.safe_load_all(Path(name).read_text()))
    except yaml.YAMLError as error:
        raise InvalidObjects(errors=[f"{name}: no YAML: {' '.join(str(error).split())}"]) from None
    return build_tree(file=name, documents=[document for document in documents if document is not None])


def build_tree(*, file: str, documents: list[Any]) -> dict[str, Any]:
    """Validates the objects, combines them to a tree and validates the tree; `file` is the file name used in errors.

    Raises InvalidObjects with the errors of all objects, or those of the tree if each object is valid by itself."""
    tree: dict[str, Any] = {"sites": {}, "services": {}, "lanes": {}}
    labels: dict[str, str] = {}
    errors = []
    for number, document in enumerate(documents, start=1):
        schema_errors = schemas.errors(name="object", value=document)
        if schema_errors:
            errors += [f"{file}: document {number}: {error['path']}: {error['error']}" for error in schema_errors]
            continue
        kind, object_name, tree_key = document["kind"], document["metadata"]["name"], TREE_KEYS[document["kind"]]
        path = "$.defaults" if kind == "Defaults" else f"$.{tree_key}.{object_name}"
        if path in labels:
            errors.append(f"{file}: {kind}/{object_name}: $.metadata.name: there is a {labels[path]} already")
            continue
        labels[path] = f"{kind}/{object_name}"
        if kind == "Defaults":
            tree["defaults"] = document["spec"]
        else:
            tree[tree_key][object_name] = document["spec"]
    if not errors:
        errors = [
            _describe_tree_error(file=file, labels=labels, error=error)
            for error in schemas.errors(name="tree", value=tree)
        ]
    if errors:
        raise InvalidObjects(errors=errors)
    return tree


def _describe_tree_error(*, file: str, labels: dict[str, str], error: dict[str, str]) -> str:
    """Attributes an error in the tree to the object that the path came from; `labels` maps paths to kind/name."""
    for path, label in sorted(labels.items(), key=lambda row: -len(row[0])):
        rest = error["path"].removeprefix(path)
        if rest != error["path"] and rest[:1] in ("", ".", "["):
            return f"{file}: {label}: $.spec{rest}: {error['error']}"
    return f"{file}: all objects together: {error['path']}: {error['error']}"


VALID_OBJECTS = """
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


def test_objects_convert_to_a_tree_and_errors_name_file_object_and_path(snapshot):
    valid = list(yaml.safe_load_all(VALID_OBJECTS))
    assert build_tree(file="f", documents=valid) == snapshot
    lane = valid[3]
    found_errors = []
    for changed in (
        [{**lane, "kind": "Route"}],
        [{**lane, "apiVersion": "dockmux/v2"}],
        [{**lane, "metadata": {}}],
        [{**lane, "metadata": {"name": "No Name"}}],
        [{**lane, "status": {}}],
        [lane],
        [{**lane, "metadata": {"name": "other"}, "spec": {"service": "catalogue", "urgency": 12, "colour": 1}}],
        [{**valid[0], "metadata": {"name": "more"}}],
        ["text"],
    ):
        try:
            build_tree(file="f", documents=[*valid, *changed])
        except InvalidObjects as invalid:
            found_errors.append(invalid.errors)
    try:
        build_tree(file="f", documents=valid[1:])
    except InvalidObjects as invalid:
        found_errors.append(invalid.errors)
    assert len(found_errors) == 10 and found_errors == snapshot
