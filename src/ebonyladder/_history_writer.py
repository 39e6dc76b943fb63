"""Writing of hour records, their supplements, and the index of services."""

import msgspec

from ebonyladder.configuration import Configuration
from ebonyladder.history import (
    INDEX_KEY,
    ChainHead,
    HourRecord,
    ServiceIndex,
    ServicePeriod,
    Supplement,
    encode,
    head_key,
    record_key,
)
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.step import Step
from ebonyladder.observation import HourBatch
from ebonyladder.store import MAX_VALUE_BYTES, PlatformStore, StoredObject
from ebonyladder.types import ConfigurationVersion, ServiceId

# Each conflict means that another writer succeeded, and a service has at most two.
MAX_WRITE_ATTEMPTS = 8


class HistoryWriter:
    """Write hour records; any number of writers may run concurrently.

    Every method is safe to repeat after an error: an hour is appended by a
    conditional write of the head, and a minute of an observer that the record
    contains already is not added again.

    Attributes
    ----------
    last_created_hour : dict of ServiceId to int
        Hour of the record that this writer created last.
    """

    def __init__(self, *, store: PlatformStore) -> None:
        self.store = store
        self.last_created_hour: dict[ServiceId, int] = {}

    async def merge(self, batch: HourBatch, outage_hours: tuple[int, ...] = ()) -> bool:
        """Write the batch's minutes; return False if the store had them all.

        Raises
        ------
        StoreError
            STORE_UNAVAILABLE if it is not known whether all minutes are written.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                written = await self._merge_once(batch, outage_hours)
                if written is not None:
                    return written
            except StoreError as error:
                if error.code is not ErrorCode.STORE_CONFLICT:
                    raise
        raise self._conflict_error(record_key(batch.service, batch.hour))

    async def _merge_once(
        self, batch: HourBatch, outages: tuple[int, ...]
    ) -> bool | None:
        """Make one attempt; return None if the hour's record appeared meanwhile."""
        key = record_key(batch.service, batch.hour)
        if self.last_created_hour.get(batch.service) == batch.hour:
            stored = await self.store.get(key)
            if stored is not None:
                return await self._supplement(stored, batch, outages)
        # The head is read before the record: if the record is absent and the
        # conditional write of the head succeeds, no other writer appended the hour.
        head = await self.store.get(head_key(batch.service))
        stored = await self.store.get(key)
        if stored is not None:
            return await self._supplement(stored, batch, outages)
        last = _decode(head, ChainHead).last if head is not None else None
        previous = await self._stored_record(last) if last is not None else None
        if previous is not None and previous.hour == batch.hour:
            return None
        await self._append(head, previous, batch, outages)
        return True

    async def _stored_record(self, last: HourRecord) -> HourRecord:
        """Return the stored record of the head, creating it if it is missing."""
        stored = await self.store.get(record_key(last.service, last.hour))
        if stored is not None:
            return _decode(stored, HourRecord)
        await self._create_record(last)
        return last

    async def _append(
        self,
        head: StoredObject | None,
        last: HourRecord | None,
        batch: HourBatch,
        outages: tuple[int, ...],
    ) -> None:
        counts, observed = batch.unrecorded({})
        record = HourRecord(
            service=batch.service,
            hour=batch.hour,
            sequence=last.sequence + 1 if last else 1,
            counts=counts,
            observed=observed,
            previous_hour=last.hour if last else None,
            previous_digest=last.digests()[-1] if last else "",
            outage_hours=outages,
        )
        version = head.version if head is not None else 0
        await self._put(head_key(batch.service), ChainHead(last=record), version)
        await self._create_record(record)

    async def _create_record(self, record: HourRecord) -> None:
        key = record_key(record.service, record.hour)
        try:
            await self._put(key, record, 0)
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
        self.last_created_hour[record.service] = record.hour

    async def _supplement(
        self, stored: StoredObject, batch: HourBatch, outages: tuple[int, ...]
    ) -> bool:
        record = _decode(stored, HourRecord)
        counts, observed = batch.unrecorded(record.minutes_by_observer())
        if not observed:
            return False
        supplement = Supplement(
            counts=counts,
            observed=observed,
            previous_digest=record.digests()[-1],
            outage_hours=outages,
        )
        merged = msgspec.structs.replace(
            record, supplements=(*record.supplements, supplement)
        )
        await self._put(stored.key, merged, stored.version)
        return True

    async def update_index(
        self, configuration: Configuration, version: ConfigurationVersion, hour: int
    ) -> ServiceIndex:
        """Update the stored index to the configuration; return the index."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self.store.get(INDEX_KEY)
            index = (
                _decode(stored, ServiceIndex) if stored is not None else ServiceIndex()
            )
            if index.version >= version:
                return index
            changed = updated_index(index, configuration, version, hour)
            try:
                await self._put(INDEX_KEY, changed, stored.version if stored else 0)
                return changed
            except StoreError as error:
                if error.code is not ErrorCode.STORE_CONFLICT:
                    raise
        raise self._conflict_error(INDEX_KEY)

    async def _put(self, key: str, value: msgspec.Struct, version: int) -> None:
        data = encode(value)
        if len(data) > MAX_VALUE_BYTES:
            raise StoreError(
                code=ErrorCode.BODY_TOO_LARGE,
                step=Step.STATUS_WRITE,
                peer="store",
                message=f"status object {key} would exceed {MAX_VALUE_BYTES} bytes",
            )
        await self.store.put(key, data, expected_version=version)

    @staticmethod
    def _conflict_error(key: str) -> StoreError:
        return StoreError(
            code=ErrorCode.STORE_CONFLICT,
            step=Step.STATUS_WRITE,
            peer="store",
            message=(
                f"status object {key} changed at each of {MAX_WRITE_ATTEMPTS} attempts"
            ),
        )


def updated_index(
    index: ServiceIndex,
    configuration: Configuration,
    version: ConfigurationVersion,
    hour: int,
) -> ServiceIndex:
    """Return the index after a configuration was applied in ``hour``.

    A removed service keeps its periods; a changed one gets a new period from the
    next hour on, so that periods do not overlap.
    """
    services = dict(index.services)
    for name in sorted({*services, *configuration.services}):
        periods = services.get(name, ())
        spec = configuration.services.get(name)
        current = periods[-1] if periods and periods[-1].last is None else None
        target = None
        if spec is not None:
            target = ServicePeriod(
                first=hour, depends_on=spec.depends_on, is_public=spec.listed
            )
        if current and target == msgspec.structs.replace(current, first=hour):
            continue
        if current:
            periods = (*periods[:-1], msgspec.structs.replace(current, last=hour))
        if target:
            first = max(hour, periods[-1].last + 1) if periods else hour
            periods = (*periods, msgspec.structs.replace(target, first=first))
        services[name] = periods
    return ServiceIndex(version=version, services=services)


def _decode(stored: StoredObject, kind: type) -> msgspec.Struct:
    try:
        return msgspec.json.decode(stored.value, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(
            code=ErrorCode.INTERNAL,
            step=Step.STATUS_WRITE,
            peer="store",
            message=f"status object {stored.key} is not valid: {error}",
        ) from error
