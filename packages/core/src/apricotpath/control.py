"""Control state of a process: bundle in force, data-centre statuses, founders, freshness."""

import logging
from collections.abc import Iterable
from datetime import datetime

from apricotpath.bundle import ANY, Bundle, QuietHours, Team, parse_bundle
from apricotpath.config import PolicySettings
from apricotpath.errors import ConflictError, InputError, SignatureError
from apricotpath.hours import forbidden_span, next_start
from apricotpath.ids import ClassId, DataCentreId, IncarnationId, KeyId, ServiceId, TeamId
from apricotpath.messages import (
    ControlAck,
    ControlUpdate,
    DataCentreStatus,
    ServiceFounders,
)
from apricotpath.model import ServiceState, Size
from apricotpath.rules import Verdict
from apricotpath.servicerules import ClassRules, ServiceRules
from apricotpath.signing import SignedEnvelope, Trust, check_envelope, key_id, parse_envelope

log = logging.getLogger(__name__)


def supersedes(new: DataCentreStatus, old: DataCentreStatus | None) -> bool:
    """Tell whether a status replaces another: a higher seq does, `out` wins a tie."""
    if old is None:
        return True
    return _rank(new) > _rank(old)


def _rank(status: DataCentreStatus) -> tuple[int, bool]:
    return status.seq, status.state is ServiceState.OUT


class Control:
    """The control state of a process; stale updates are ignored.

    `trusted_keys` are the public keys in the settings. A process without a
    bundle refuses everything. The founders of a service are the agent
    incarnations that it was first started with.
    """

    def __init__(self, trusted_keys: Iterable[str]) -> None:
        self._settings_trust = Trust.of(tuple(trusted_keys))
        self.bundle: Bundle | None = None
        self.envelope = b""
        self.bundle_error = ""
        self._bundle_keys: dict[KeyId, str] = {}
        self._statuses: dict[DataCentreId, DataCentreStatus] = {}
        self._founders: dict[ServiceId, frozenset[IncarnationId]] = {}
        self._services: dict[ServiceId, ServiceRules] = {}
        self._quiet_cache: dict[tuple[str, DataCentreId], tuple[QuietHours, ...]] = {}
        self._read_at: float | None = None

    @property
    def bundle_version(self) -> int:
        """Version of the bundle in force, or 0."""
        return self.bundle.version if self.bundle is not None else 0

    def trust(self) -> Trust:
        """Return the keys trusted now.

        These are the keys in the settings, the keys in the delegation chain of
        the bundle in force, and the keys that this bundle lists, without those
        that it revokes. A key in the settings can therefore be revoked after a
        rotation. Keys of earlier bundles are not trusted, so that a restarted
        process trusts the same keys.
        """
        revoked = self.bundle.revoked_keys if self.bundle is not None else ()
        return Trust({**self._settings_trust.keys, **self._bundle_keys}, frozenset(revoked))

    def record_store_read(self, started_at: float) -> None:
        """Record a successful control read of the store; `started_at` is monotonic seconds."""
        if self._read_at is None or started_at > self._read_at:
            self._read_at = started_at

    def is_fresh(self, now: float, cfg: PolicySettings) -> bool:
        """Tell whether the last control read began at most `fresh_s` ago."""
        return self._read_at is not None and now - self._read_at <= cfg.fresh_s

    def merge_update(self, update: ControlUpdate) -> bool:
        """Merge an update and return whether anything changed.

        The error of a rejected bundle is kept in `bundle_error`; the rest of the
        update is still merged.
        """
        changed = self.merge_statuses(update.statuses)
        for founders in update.founders:
            changed |= self.merge_founders(founders.service, founders.incarnations)
        if update.bundle and update.bundle_version > self.bundle_version:
            changed |= self.merge_bundle(update.bundle)
        return changed

    def merge_statuses(self, statuses: Iterable[DataCentreStatus]) -> bool:
        """Merge data-centre statuses and return whether any changed."""
        changed = False
        for status in statuses:
            if supersedes(status, self._statuses.get(status.data_centre)):
                self._statuses[status.data_centre] = status
                changed = True
        return changed

    def merge_founders(self, service: ServiceId, founders: Iterable[IncarnationId]) -> bool:
        """Store a service's founders unless they are already set; return whether they were stored.

        The record in the store is written only once, so the first value is kept.
        """
        if service in self._founders:
            return False
        self._founders[service] = frozenset(founders)
        return True

    def merge_bundle(self, data: bytes) -> bool:
        """Activate a signed bundle if it is valid and newer; return whether it was activated."""
        try:
            envelope, bundle = self._verify_bundle(data)
        except InputError as exc:
            self.bundle_error = str(exc)
            log.warning("bundle rejected: %s", exc)
            return False
        if bundle.version <= self.bundle_version:
            return False
        self._activate_bundle(data, envelope, bundle)
        return True

    def check_bundle(self, data: bytes) -> Bundle:
        """Verify and return a signed bundle that may replace the one in force.

        Raises SignatureError, BundleError, or ConflictError if its version
        is not the next one. The state is not changed.
        """
        _, bundle = self._verify_bundle(data)
        if bundle.version != self.bundle_version + 1:
            raise ConflictError(
                f"the bundle has version {bundle.version}, but version {self.bundle_version} "
                f"is in force and only {self.bundle_version + 1} may follow"
            )
        return bundle

    def _verify_bundle(self, data: bytes) -> tuple[SignedEnvelope, Bundle]:
        envelope = parse_envelope(data)
        bundle = parse_bundle(check_envelope(envelope, self.trust()))
        if envelope.key in bundle.revoked_keys:
            raise SignatureError(
                f"the bundle revokes key {envelope.key}, which signed it", "revoked_keys"
            )
        return envelope, bundle

    def _activate_bundle(self, data: bytes, envelope: SignedEnvelope, bundle: Bundle) -> None:
        keys = self.trust().extended(envelope.chain)
        in_chain = {item.public_key for item in envelope.chain}
        self._bundle_keys = {
            key: text for key, text in keys.items() if text in in_chain or key == envelope.key
        }
        self._bundle_keys |= {key_id(text): text for text in bundle.trusted_keys}
        self.envelope, self.bundle, self.bundle_error = data, bundle, ""
        self._quiet_cache = {}
        self._services = {
            name: ServiceRules(
                name,
                service.claim,
                {
                    ClassId(key): ClassRules(
                        key, row.priority, row.idempotent, row.deadline_s, row.queue
                    )
                    for key, row in service.classes.items()
                },
            )
            for name, service in bundle.services.items()
        }

    def update(self, now: float | None = None, with_bundle: bool = True) -> ControlUpdate:
        """Return the complete state.

        `now`, in monotonic seconds, is needed for the age of the last control read.
        """
        age_ms = -1
        if now is not None and self._read_at is not None:
            age_ms = max(0, int((now - self._read_at) * 1000))
        founders = tuple(
            ServiceFounders(service, tuple(sorted(members)))
            for service, members in sorted(self._founders.items())
        )
        bundle = self.envelope if with_bundle else b""
        return ControlUpdate(self.bundle_version, bundle, self.statuses(), founders, age_ms)

    def ack(self) -> ControlAck:
        """Return the bundle version and statuses in force in this process."""
        return ControlAck(self.bundle_version, self.statuses())

    def statuses(self) -> tuple[DataCentreStatus, ...]:
        """Return the data-centre statuses, sorted by name."""
        return tuple(self._statuses[dc] for dc in sorted(self._statuses))

    def status(self, dc: DataCentreId) -> DataCentreStatus:
        """Return a data centre's status; the default is `in` with seq 0."""
        return self._statuses.get(dc) or DataCentreStatus(dc, 0, ServiceState.IN)

    def in_service(self, dc: DataCentreId) -> bool:
        """Tell whether a data centre is in the bundle and in service."""
        row = self.bundle.datacentres.get(dc) if self.bundle is not None else None
        if row is None or not row.in_service:
            return False
        return self.status(dc).state is ServiceState.IN

    def claim_of(self, service: ServiceId) -> Size:
        """Return the size that a backend server of a service reserves; zero if it is unknown."""
        rules = self._services.get(service)
        return rules.claim if rules is not None else Size()

    def has_bundle(self) -> bool:
        """Tell whether a bundle is in force."""
        return self.bundle is not None

    def service_rules(self, service: ServiceId) -> ServiceRules | None:
        """Return the rules of a service, or None if the bundle does not name it."""
        return self._services.get(service)

    def founders(self, service: ServiceId) -> frozenset[IncarnationId]:
        """Return the founders of a service, or an empty set."""
        return self._founders.get(service, frozenset())

    def has_founders(self, service: ServiceId) -> bool:
        """Tell whether the founders' record of a service exists."""
        return service in self._founders

    def team(self, team_id: TeamId) -> Team | None:
        """Return a team's limits, or None if the bundle does not name it."""
        return self.bundle.teams.get(team_id) if self.bundle is not None else None

    def verdict(self, team: TeamId, activity: str, dc: DataCentreId, utc: datetime) -> Verdict:
        """Return whether a team may do an activity in a data centre at a UTC time.

        A team that the bundle does not name is refused.
        """
        bundle = self.bundle
        if bundle is None:
            return Verdict(False, "no bundle is in force", 0)
        rule = self._static_refusal(bundle, team, activity, dc)
        if rule:
            return Verdict(False, rule, bundle.version)
        quiet = self._quiet_hours_for(bundle, activity, dc)
        for item in quiet:
            span = forbidden_span((item.period(),), utc)
            if span is not None:
                where = f"quiet_hours[{bundle.quiet_hours.index(item)}]"
                end = span.end.isoformat()
                return Verdict(
                    False, f"{where} forbids {activity!r} in {dc} until {end}", bundle.version
                )
        until = next_start((item.period() for item in quiet), utc)
        return Verdict(True, "", bundle.version, until)

    def _static_refusal(self, bundle: Bundle, team: TeamId, activity: str, dc: DataCentreId) -> str:
        if dc not in bundle.datacentres:
            return f"datacentres does not name {dc!r}"
        if not self.in_service(dc):
            return f"data centre {dc} is out of service"
        if team not in bundle.teams:
            return f"teams does not name {team!r}"
        for number, rule in enumerate(bundle.placement):
            if rule.applies(team, activity) and dc not in rule.datacentres:
                return f"placement[{number}] does not allow {activity!r} of {team} in {dc}"
        return ""

    def _quiet_hours_for(
        self, bundle: Bundle, activity: str, dc: DataCentreId
    ) -> tuple[QuietHours, ...]:
        # Activities that no rule names share one cache entry, which bounds the cache.
        named = any(activity in item.activities for item in bundle.quiet_hours)
        key = (activity if named else ANY, dc)
        if key not in self._quiet_cache:
            self._quiet_cache[key] = tuple(
                item for item in bundle.quiet_hours if item.applies(key[0], dc)
            )
        return self._quiet_cache[key]
