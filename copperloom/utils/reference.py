"""Writes the pages that are made of the code: settings and subpackages.

Usage:
  reference [--check]

Options:
  --check  Change nothing; exit with 1 if a page is not up to date.

Run as `python -m copperloom.utils.reference` at the root of the repository.
"""

import ast
import pathlib
import sys

import docopt

from copperloom import settings
from copperloom.cli import programs

__all__ = ["main", "pages"]

_PACKAGE = pathlib.Path(__file__).resolve().parents[1]
_DOCS = _PACKAGE.parent / "docs"
_MADE = "Made by `make docs` from the code; do not edit.\n"


def main(argv: list[str] | None = None) -> int:
    """Writes the pages, or checks them."""
    args = docopt.docopt(__doc__, argv)
    stale = []
    for path, text in pages().items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(path.name)
        if not args["--check"]:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
    if args["--check"] and stale:
        print("not up to date, run `make docs`:", ", ".join(stale))
        return 1
    return 0


def pages() -> dict[pathlib.Path, str]:
    """Returns the text of each page by its path."""
    made = {_DOCS / "CONFIGURATION.md": _configuration()}
    names = _subpackages()
    index = ["# Reference", "", _MADE]
    for name in names:
        summary = _summary(_PACKAGE / name / "__init__.py")
        index.append(f"- [copperloom.{name}]({name}.md): {summary}")
        made[_DOCS / "reference" / f"{name}.md"] = _subpackage(name)
    made[_DOCS / "reference" / "README.md"] = "\n".join(index) + "\n"
    return made


def _configuration() -> str:
    parts = [
        "# Settings",
        "",
        _MADE,
        "Settings are INI. An unknown section or key is an error, as is a value"
        " out of its range: the program says",
        "file, section, key and what is wrong, with code 1001, and exits with"
        " status 2. `copperloom config check FILE`",
        "checks a file, `copperloom config explain` prints what follows.",
        "",
    ]
    for name in sorted(programs.PROGRAMS):
        explained = settings.explain(programs.find(name))
        parts += [f"## {name}", "", "```ini", explained.rstrip(), "```", ""]
    return "\n".join(parts)


def _subpackages() -> list[str]:
    found = {p.parent.name for p in _PACKAGE.glob("*/__init__.py")}
    return sorted(found - {"tests"})


def _subpackage(name: str) -> str:
    lines = [f"# copperloom.{name}", "", _MADE]
    lines += [_summary(_PACKAGE / name / "__init__.py"), ""]
    for path in sorted((_PACKAGE / name).glob("*.py")):
        if path.name != "__init__.py" and not path.stem.startswith("peers_"):
            lines += _module(name, path)
    return "\n".join(lines)


def _module(package: str, path: pathlib.Path) -> list[str]:
    tree = ast.parse(path.read_text())
    lines = [f"## {package}.{path.stem}", "", ast.get_docstring(tree) or ""]
    public = _public(tree)
    rows = [
        f"| `{node.name}` | {_first_line(node)} |"
        for node in tree.body
        if getattr(node, "name", "") in public
    ]
    if rows:
        lines += ["", "| name | |", "| --- | --- |", *rows]
    return [*lines, ""]


def _public(tree: ast.Module) -> set[str]:
    for node in tree.body:
        if isinstance(node, ast.Assign) and node.targets[0].id == "__all__":
            return set(ast.literal_eval(node.value))
    return set()


def _first_line(node) -> str:
    text = ast.get_docstring(node) or ""
    return text.partition("\n")[0].replace("|", "\\|")


def _summary(path: pathlib.Path) -> str:
    doc = ast.get_docstring(ast.parse(path.read_text())) or ""
    return doc.partition("\n")[0]


if __name__ == "__main__":
    sys.exit(main())
