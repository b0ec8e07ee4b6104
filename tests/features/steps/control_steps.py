"""Steps for control.feature."""

from dataclasses import replace
from datetime import UTC, datetime
from itertools import permutations
from pathlib import Path
from typing import Any

from behave import given, then, when

from apricotpath.bundle import Bundle, bundle_bytes, load_bundle
from apricotpath.config import PolicySettings
from apricotpath.control import Control
from apricotpath.errors import ConflictError, SignatureError
from apricotpath.messages import ControlUpdate, DataCentreStatus, ServiceFounders
from apricotpath.model import ServiceState
from apricotpath.rules import Verdict
from apricotpath.signing import SigningKey, generate_key, rotate_key, sign_envelope

SUVA = Path(__file__).parents[3] / "examples" / "suva" / "bundle.json"
RULES = load_bundle(SUVA)
# Monday 2026-12-07 at 21:30 in Suva, within the quiet hours of the compost yard.
MONDAY_NIGHT = datetime(2026, 12, 7, 9, 30, tzinfo=UTC)


def signed_bundle(key: SigningKey, version: int, **changes: Any) -> bytes:
    """Return a signed bundle with Suva's rules, a version and changed fields."""
    bundle: Bundle = replace(RULES, version=version, **changes)
    return sign_envelope(bundle_bytes(bundle), key).to_bytes()


def status(dc: str, seq: int, state: str) -> DataCentreStatus:
    """Return a data-centre status."""
    return DataCentreStatus(dc, seq, ServiceState(state))  # type: ignore[arg-type]


def update(version: int = 0, bundle: bytes = b"", *statuses: DataCentreStatus) -> ControlUpdate:
    """Return an update without founders."""
    return ControlUpdate(version, bundle, statuses, (), -1)


class ControlSubject:
    """Holds a control state, its signing key, the updates for it, and the observed results."""

    def __init__(self, version: int = 0) -> None:
        self.key = generate_key()
        self.control = self.fresh()
        if version:
            assert self.control.merge_bundle(signed_bundle(self.key, version))
        self.updates: list[ControlUpdate] = []
        self.end_states: set[tuple[Any, ...]] = set()
        self.regressions: list[str] = []
        self.race_results: list[ServiceState] = []

    def fresh(self) -> Control:
        return Control([self.key.public_text])

    def apply_in_every_order(self) -> None:
        for order in permutations(self.updates):
            control = self.fresh()
            for item in order:
                before = control.ack()
                control.merge_update(item)
                self._record_regressions(before, control)
            founders = control.founders("scraps")  # type: ignore[arg-type]
            self.end_states.add((control.bundle_version, control.statuses(), founders))

    def _record_regressions(self, before: Any, control: Control) -> None:
        if control.bundle_version < before.bundle_version:
            self.regressions.append(f"{before.bundle_version} to {control.bundle_version}")
        for old in before.statuses:
            new = control.status(old.data_centre)
            if new.seq < old.seq or (
                new.seq == old.seq and new != old and old.state.value == "out"
            ):
                self.regressions.append(f"{old} to {new}")

    def race(self, out: int, back: int) -> None:
        for order in permutations(
            [status("suva-depot", out, "out"), status("suva-depot", back, "in")]
        ):
            control = self.fresh()
            for item in order:
                control.merge_update(update(0, b"", item))
            self.race_results.append(control.status(item.data_centre).state)

    def update_with_invalid_bundle(self, name: str) -> ControlUpdate:
        """Return an update with a bundle that must be rejected, and a take-out."""
        untrusted_key = generate_key()
        other = signed_bundle(self.key, 1, region="elsewhere")
        bundles = {
            "bundle 1 with other rules": (1, other),
            "bundle 2 signed by a stranger": (2, signed_bundle(untrusted_key, 2)),
            "bundle 2 that revokes its signing key": (
                2,
                signed_bundle(self.key, 2, revoked_keys=(self.key.key_id,)),
            ),
            "bundle 2 with an invalid rule": (2, signed_bundle(self.key, 2, datacentres={})),
            "bundle 1 announced as 9": (9, other),
            "bundle 2 announced as 0": (0, signed_bundle(self.key, 2)),
            "bytes that are no envelope": (9, b"\x00\xff"),
        }
        version, data = bundles[name]
        return update(version, data, status("suva-depot", 3, "out"))

    def verdict(self, team: str, activity: str, dc: str) -> Verdict:
        return self.control.verdict(team, activity, dc, MONDAY_NIGHT)  # type: ignore[arg-type]


@given("a control state and updates with 3 bundles, 4 statuses and 1 founders record")
def _(context: Any) -> None:
    subject = context.control = ControlSubject()
    first, second, third = (signed_bundle(subject.key, version) for version in (1, 2, 3))
    founders = (ServiceFounders("scraps", ("a#1", "b#1")),)  # type: ignore[arg-type]
    subject.updates = [
        update(1, first, status("suva-depot", 4, "in")),
        update(2, second, status("suva-depot", 5, "out")),
        update(3, third),
        update(0, b"", status("suva-depot", 5, "in")),
        ControlUpdate(0, b"", (status("compost-yard", 1, "out"),), founders, -1),
    ]


@when("the updates are applied in every order")
def _(context: Any) -> None:
    context.control.apply_in_every_order()


@then("every order of updates ends in bundle 3 and the highest statuses")
def _(context: Any) -> None:
    expected = (status("compost-yard", 1, "out"), status("suva-depot", 5, "out"))
    assert context.control.end_states == {(3, expected, frozenset({"a#1", "b#1"}))}


@then("no step of any order lowered the bundle version or a status")
def _(context: Any) -> None:
    assert not context.control.regressions, context.control.regressions[:3]


@given("a control state with bundle 1 in force")
def _(context: Any) -> None:
    context.control = ControlSubject(1)


@given("a control state without a bundle")
def _(context: Any) -> None:
    context.control = ControlSubject()


@when("a take-out with seq {out:d} and a bring-back with seq {back:d} arrive in both orders")
def _(context: Any, out: int, back: int) -> None:
    context.control.race(out, back)


@then("the raced data centre is {state} in both orders")
def _(context: Any, state: str) -> None:
    assert [item.value for item in context.control.race_results] == [state, state]


@when("an update brings {bundle} with a take-out")
def _(context: Any, bundle: str) -> None:
    assert context.control.control.merge_update(context.control.update_with_invalid_bundle(bundle))


@then("bundle 1 stays in force and the take-out is applied")
def _(context: Any) -> None:
    control = context.control.control
    assert control.bundle_version == 1
    assert control.bundle.region == RULES.region
    assert not control.in_service("suva-depot")
    assert control.in_service("nasinu-depot")


@when("bundle 2 is signed by a rotated key and bundle 3 revokes the old one")
def _(context: Any) -> None:
    subject = context.control
    subject.new = rotate_key(subject.key)
    assert subject.control.merge_bundle(signed_bundle(subject.new, 2))
    assert subject.control.merge_bundle(
        signed_bundle(subject.new, 3, revoked_keys=(subject.key.key_id,))
    )


@then("a bundle 4 by {signer} is {result}")
def _(context: Any, signer: str, result: str) -> None:
    subject = context.control
    keys = {
        "the revoked key": subject.key,
        "a key with a delegation from the revoked one": rotate_key(subject.key),
        "the rotated key": subject.new,
    }
    data = signed_bundle(keys[signer], 4, revoked_keys=(subject.key.key_id,))
    assert subject.control.merge_bundle(data) is (result == "accepted")


@when("bundle 2 by a rotated key revokes the old one and lists the key of a colleague as trusted")
def _(context: Any) -> None:
    subject = context.control
    subject.signers = {
        "the revoked key": subject.key,
        "the rotated key": rotate_key(subject.key),
        "the colleague": generate_key(),
    }
    subject.handover_bundle = signed_bundle(
        subject.signers["the rotated key"],
        2,
        revoked_keys=(subject.key.key_id,),
        trusted_keys=(subject.signers["the colleague"].public_text,),
    )


@then("a bundle 3 by {signer} is {result} by a running and by a restarted process")
def _(context: Any, signer: str, result: str) -> None:
    subject = context.control
    for control in (subject.control, subject.fresh()):
        assert control.merge_bundle(subject.handover_bundle)
        bundle = signed_bundle(subject.signers[signer], 3)
        assert control.merge_bundle(bundle) is (result == "accepted")


@then("submitting bundle {version:d} gives {result}")
def _(context: Any, version: int, result: str) -> None:
    subject = context.control
    try:
        subject.control.check_bundle(signed_bundle(subject.key, version))
        found = "accepted"
    except ConflictError:
        found = "conflict"
    except SignatureError:
        found = "bad signature"
    assert found == result
    assert subject.control.bundle_version == 1


@when("control reads began at {reads}")
def _(context: Any, reads: str) -> None:
    for text in reads.split(",") if reads != "none" else ():
        context.control.control.record_store_read(float(text))


@then("at {now:g} s the control state is {fresh}")
def _(context: Any, now: float, fresh: str) -> None:
    assert context.control.control.is_fresh(now, PolicySettings()) is (fresh == "fresh")


@when("the control state gets status {state} of {dc}")
def _(context: Any, dc: str, state: str) -> None:
    context.control.control.merge_statuses([status(dc, 1, state)])


@then("work of {team} doing {activity} in {dc} is refused by: {rule}")
def _(context: Any, team: str, activity: str, dc: str, rule: str) -> None:
    verdict = context.control.verdict(team, activity, dc)
    assert verdict.allowed is (rule == "nothing"), verdict
    assert verdict.allowed or rule in verdict.rule, verdict
    assert verdict.bundle_version == context.control.control.bundle_version


@then("work of {team} doing {activity} in {dc} ends at {end} UTC")
def _(context: Any, team: str, activity: str, dc: str, end: str) -> None:
    verdict = context.control.verdict(team, activity, dc)
    assert verdict.allowed
    assert verdict.until == datetime.fromisoformat(end).replace(tzinfo=UTC), verdict
