"""Changes of the store's control keys by operators, and the founders of services."""

from base64 import b64encode
from collections.abc import Sequence
from dataclasses import replace

from apricotpath.errors import ConflictError, StoreError
from apricotpath.ids import DataCentreId, IncarnationId, ServiceId
from apricotpath.messages import DataCentreStatus
from apricotpath.model import ServiceState
from apricotpathd.controlrecords import parse_bundle, parse_founders, parse_record, parse_status
from apricotpathd.controlstore import ControlStore
from apricotpathd.controlview import Views


class ControlChanges:
    """Conditional changes of data-centre statuses, the bundle and the founders of services."""

    def __init__(self, control: ControlStore, views: Views) -> None:
        self._control = control
        self._views = views

    async def put_status(
        self, data_centre: DataCentreId, state: ServiceState, seq: int
    ) -> DataCentreStatus:
        """Store a data centre's status; returns it once it is in the store.

        Raises ConflictError if the store has this `seq` with another state, or
        a higher `seq`; otherwise raises like `ControlStore.compare_and_swap`.
        """
        key = self._control.status_key(data_centre)
        wanted = DataCentreStatus(data_centre, seq, state)
        item = await self._control.store.get(key)
        former = parse_record(item, parse_status) if item is not None else None
        if former == wanted:
            return wanted
        if former is not None and former.seq >= seq:
            raise ConflictError(
                f"data centre {data_centre} has change {former.seq} ({former.state.value}) already"
            )
        content = {"seq": seq, "state": state.value}
        expected = item.mod_revision if item is not None else 0
        if not (await self._control.compare_and_swap(key, expected, content)).succeeded:
            raise ConflictError(f"data centre {data_centre} was changed by someone else first")
        return wanted

    async def put_bundle(self, envelope: bytes, version: int) -> int:
        """Store a signed bundle as the successor of version - 1; returns its mod revision.

        Raises ConflictError if the store has another version than version - 1,
        unless it has exactly this envelope; otherwise raises like
        `ControlStore.compare_and_swap`.
        """
        key = self._control.bundle_key
        item = await self._control.store.get(key)
        former = parse_record(item, parse_bundle) if item is not None else None
        if item is not None and former == (version, envelope):
            return item.mod_revision
        if item is not None and former is None:
            raise StoreError("the bundle in the store is malformed")
        present = former[0] if former is not None else 0
        if present != version - 1:
            raise ConflictError(f"bundle version {version} does not follow version {present}")
        content = {"version": version, "envelope": b64encode(envelope).decode()}
        expected = item.mod_revision if item is not None else 0
        result = await self._control.compare_and_swap(key, expected, content)
        if not result.succeeded:
            raise ConflictError(f"another bundle version {version} was accepted first")
        return result.revision

    async def record_founders(
        self, service: ServiceId, incarnations: Sequence[IncarnationId]
    ) -> tuple[IncarnationId, ...]:
        """Create a service's record if it is absent; returns the stored founders.

        Founders are agent incarnations whose key memory counts as full from the start.
        """
        key = self._control.service_key(service)
        content = {"founders": list(incarnations)}
        if (await self._control.compare_and_swap(key, 0, content)).succeeded:
            founders = tuple(incarnations)
        else:
            item = await self._control.store.get(key)
            found = parse_record(item, parse_founders) if item is not None else None
            if found is None:
                raise StoreError(f"the record of service {service} is missing or malformed")
            founders = found
        newest = self._views.newest
        all_founders = {**newest.founders, service: founders}
        self._views.publish(replace(newest, founders=all_founders))
        return founders
