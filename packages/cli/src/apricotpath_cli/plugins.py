"""Command groups that other packages add to the operators' command.

A package adds a group through a module of the namespace package
`apricotpath_plugins` with a function `add_group(groups)`. Such a module is
imported at each start of the command, so it imports what is large only when
its group runs. Modules of a namespace package are found through `sys.path`,
both in installations and in a source tree on PYTHONPATH.
"""

import argparse
from collections.abc import Iterator, Sequence
from functools import partial
from importlib import import_module
from importlib.util import find_spec
from pkgutil import iter_modules

from apricotpath.errors import InputError
from apricotpath_cli.options import Groups

NAMESPACE = "apricotpath_plugins"

# The packages that add groups which operators' installations need not have.
OPTIONAL_GROUPS = {"load": "apricotpath-bench", "trace": "apricotpath-bench"}

# A character that starts no argument, so that all arguments of an absent group are positional.
NO_PREFIX = "\0"


class PluginError(Exception):
    """A plugin that cannot be loaded."""


def add_plugin_groups(groups: Groups) -> None:
    """Add the groups of all plugins, and a group that raises InputError for each absent one.

    A plugin that cannot be loaded is left out, since operators need the other groups.
    """
    failures: list[PluginError] = []
    for name in _plugin_names():
        try:
            _add_group(name, groups)
        except PluginError as exc:
            failures.append(exc)
    for group, package in OPTIONAL_GROUPS.items():
        if group not in groups.choices:
            _add_absent_group(groups, group, package, failures)


def _plugin_names() -> Iterator[str]:
    spec = find_spec(NAMESPACE)
    if spec is None or spec.submodule_search_locations is None:
        return
    for info in iter_modules(spec.submodule_search_locations):
        yield f"{NAMESPACE}.{info.name}"


def _add_group(name: str, groups: Groups) -> None:
    try:
        module = import_module(name)
    # Code of another package may raise anything.
    except Exception as exc:
        raise PluginError(f"the plugin {name} cannot be loaded: {exc}") from exc
    add_group = getattr(module, "add_group", None)
    if not callable(add_group):
        raise PluginError(f"the plugin {name} has no function add_group")
    add_group(groups)


def _add_absent_group(
    groups: Groups, group: str, package: str, failures: Sequence[PluginError]
) -> None:
    text = f"needs the package {package}"
    reason = "; ".join(map(str, failures)) or "it is not installed"
    parser = groups.add_parser(group, help=text, prefix_chars=NO_PREFIX, add_help=False)
    parser.add_argument("arguments", nargs=argparse.REMAINDER)
    parser.set_defaults(run=partial(_raise_absent, f"{group!r} {text}: {reason}"))


def _raise_absent(text: str, args: argparse.Namespace) -> int:
    raise InputError(text)
