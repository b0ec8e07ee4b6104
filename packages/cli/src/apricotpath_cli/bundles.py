"""Commands that check, sign and apply bundles, the signed rules of the operators."""

import argparse
import json
from pathlib import Path
from typing import Any

import anyio

from apricotpath.bundle import Bundle, bundle_bytes, diff, load_bundle, parse_bundle
from apricotpath.errors import ConflictError, InputError
from apricotpath.signing import parse_envelope, sign_envelope
from apricotpath_cli.client import Client, EntryFailed, EntryUnavailable
from apricotpath_cli.confirm import EXIT_DONE, wait_in_force
from apricotpath_cli.options import (
    Groups,
    add_entries,
    add_json,
    add_key,
    add_wait,
    operator_settings,
    signing_key,
)
from apricotpath_cli.output import print_fields, print_json
from apricotpath_cli.views import status_rows

PUT_TRIES = 3
RETRY_S = 0.5


def add_group(groups: Groups) -> None:
    """Add `bundle validate|sign|diff|apply|status`."""
    commands = groups.add_parser("bundle", help="check, sign and apply rules").add_subparsers(
        required=True, metavar="COMMAND"
    )
    validate = commands.add_parser("validate", help="check a bundle file")
    validate.add_argument("file", type=Path)
    add_json(validate)
    validate.set_defaults(run=_validate)
    sign = commands.add_parser("sign", help="sign a bundle file")
    sign.add_argument("file", type=Path)
    sign.add_argument("--out", type=Path, required=True, metavar="FILE")
    add_key(sign)
    sign.set_defaults(run=_sign)
    compare = commands.add_parser("diff", help="compare two bundles, plain or signed")
    compare.add_argument("old", type=Path)
    compare.add_argument("new", type=Path)
    add_json(compare)
    compare.set_defaults(run=_diff)
    apply = commands.add_parser("apply", help="put a bundle, plain or signed, in force")
    apply.add_argument("file", type=Path)
    add_entries(apply)
    add_wait(apply)
    apply.set_defaults(run=_apply)
    status = commands.add_parser("status", help="show the bundle in force at every entry")
    add_entries(status)
    status.set_defaults(run=_status)


def read_bundle(path: Path) -> tuple[Bundle, bytes | None]:
    """Return the bundle in a file and, if it is signed, its envelope; raises InputError."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise InputError(f"{path}: cannot be read: {exc.strerror}") from exc
    if not _is_envelope(data):
        return load_bundle(path), None
    return parse_bundle(parse_envelope(data).payload, str(path)), data


def _is_envelope(data: bytes) -> bool:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        return False
    return isinstance(value, dict) and "payload" in value


def _validate(args: argparse.Namespace) -> int:
    bundle, _ = read_bundle(args.file)
    summary = {
        "version": bundle.version,
        "region": bundle.region,
        "datacentres": list(bundle.datacentres),
        "services": list(bundle.services),
        "teams": len(bundle.teams),
        "quiet_hours": len(bundle.quiet_hours),
        "placement": len(bundle.placement),
    }
    if args.json:
        print_json(summary)
    else:
        print(f"{args.file}: valid")
        print_fields(summary)
    return 0


def _sign(args: argparse.Namespace) -> int:
    envelope = _signed(args.file, args.key)
    try:
        args.out.write_bytes(envelope)
    except OSError as exc:
        raise InputError(f"{args.out}: cannot be written: {exc.strerror}") from exc
    print(f"wrote {args.out}")
    return 0


def _signed(path: Path, key_path: Path | None) -> bytes:
    bundle, envelope = read_bundle(path)
    if envelope is not None:
        return envelope
    key = signing_key(key_path)
    if key.key_id in bundle.revoked_keys:
        raise InputError(f"{path}: revoked_keys: names the key that signs the bundle")
    # Signs the compact form, since every process parses it on each change.
    return sign_envelope(bundle_bytes(bundle), key).to_bytes()


def _diff(args: argparse.Namespace) -> int:
    old, new = read_bundle(args.old)[0], read_bundle(args.new)[0]
    lines = diff(old, new)
    if args.json:
        print_json(lines)
    else:
        print("\n".join(lines) or "no differences")
    return 0


def _apply(args: argparse.Namespace) -> int:
    cfg = operator_settings(args)
    bundle, _ = read_bundle(args.file)
    envelope = _signed(args.file, cfg.key)
    key = signing_key(cfg.key)

    async def run() -> int:
        async with Client(cfg.entries, key, args.timeout) as client:
            answer = await _put(client, bundle, envelope)
            label = f"bundle version {bundle.version}"
            if answer.get("in_force") is True:
                print(f"{label}: in force")
                return EXIT_DONE
            return await wait_in_force(
                client, label, lambda status: _has_bundle(status, bundle.version), args.wait
            )

    return anyio.run(run)


async def _put(client: Client, bundle: Bundle, envelope: bytes) -> dict[str, Any]:
    """Send the bundle; a lost answer is resolved by reading which bundle is in force."""
    for attempt in range(PUT_TRIES):
        try:
            return await client.call_any("PUT", "/v1/bundle", envelope)
        except ConflictError:
            if await _is_accepted(client, bundle.version, envelope):
                return {}
            raise
        except (EntryUnavailable, EntryFailed):
            if attempt == PUT_TRIES - 1:
                raise
            await anyio.sleep(RETRY_S)
    raise AssertionError("unreachable")


async def _is_accepted(client: Client, version: int, envelope: bytes) -> bool:
    """Tell whether an earlier attempt, whose answer was lost, has put this bundle in force.

    Polls, because the entry may see the bundle only at its next read of the store.
    """
    for _attempt in range(PUT_TRIES):
        reply = await client.call_any("GET", "/v1/bundle")
        if reply.get("version") != version - 1:
            return reply.get("version") == version and reply.get("envelope") == json.loads(envelope)
        await anyio.sleep(RETRY_S)
    return False


def _has_bundle(status: dict[str, Any], version: int) -> bool:
    bundle = status["bundle"]
    return bundle["version"] > version or (
        bundle["version"] == version and bundle["in_force"] is True
    )


def _status(args: argparse.Namespace) -> int:
    return status_rows(args, lambda value: [value.get("bundle", {})])
