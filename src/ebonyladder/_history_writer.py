"""Writing of hour records: append to the chain, supplement, list services."""

import msgspec

from ebonyladder.configuration import Configuration
from ebonyladder.history import (
    INDEX_KEY,
    Head,
    HourRecord,
    Index,
    Listing,
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

# Each conflict means that another writer succeeded; there are at most two.
WRITE_ATTEMPTS = 8


class HistoryWriter:
    """Write hour records; any number of writers may run at once.

    Every method is safe to repeat after an error: an hour is appended by the
    conditional move of the head, and a minute of an observer that is in the
    record already is not added again.
    """

    def __init__(self, *, store: PlatformStore) -> None:
        self.store = store
        self.created: dict[ServiceId, int] = {}

    async def merge(self, batch: HourBatch, outage_hours: tuple[int, ...] = ()) -> bool:
        """Record the batch's minutes; False if the store had them all.

        Raises
        ------
        StoreError
            STORE_UNAVAILABLE if it is not known whether all is written.
        """
        for _ in range(WRITE_ATTEMPTS):
            try:
                written = await self._merge_once(batch, outage_hours)
                if written is not None:
                    return written
            except StoreError as error:
                if error.code is not ErrorCode.STORE_CONFLICT:
                    raise
        raise self._gave_up(record_key(batch.service, batch.hour))

    async def _merge_once(
        self, batch: HourBatch, outages: tuple[int, ...]
    ) -> bool | None:
        """Make one attempt; None if the batch has to be compared again."""
        key = record_key(batch.service, batch.hour)
        if self.created.get(batch.service) == batch.hour:
            stored = await self.store.get(key)
            if stored is not None:
                return await self._supplement(stored, batch, outages)
        # The head is read before the record. If the record is absent and the
        # head has not moved at the append, no other writer appended the hour.
        head = await self.store.get(head_key(batch.service))
        stored = await self.store.get(key)
        if stored is not None:
            return await self._supplement(stored, batch, outages)
        last = _decode(head, Head).last if head is not None else None
        previous = await self._stored_form(last) if last is not None else None
        if previous is not None and previous.hour == batch.hour:
            return None
        await self._append(head, previous, batch, outages)
        return True

    async def _stored_form(self, last: HourRecord) -> HourRecord:
        """Return the head's record with its supplements, created if missing."""
        stored = await self.store.get(record_key(last.service, last.hour))
        if stored is not None:
            return _decode(stored, HourRecord)
        await self._create(last)
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
        await self._put(head_key(batch.service), Head(last=record), version)
        await self._create(record)

    async def _create(self, record: HourRecord) -> None:
        key = record_key(record.service, record.hour)
        try:
            await self._put(key, record, 0)
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
        self.created[record.service] = record.hour

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
    ) -> Index:
        """Bring the index of services up to the configuration; return it."""
        for _ in range(WRITE_ATTEMPTS):
            stored = await self.store.get(INDEX_KEY)
            index = _decode(stored, Index) if stored is not None else Index()
            if index.version >= version:
                return index
            changed = indexed(index, configuration, version, hour)
            try:
                await self._put(INDEX_KEY, changed, stored.version if stored else 0)
                return changed
            except StoreError as error:
                if error.code is not ErrorCode.STORE_CONFLICT:
                    raise
        raise self._gave_up(INDEX_KEY)

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
    def _gave_up(key: str) -> StoreError:
        return StoreError(
            code=ErrorCode.STORE_CONFLICT,
            step=Step.STATUS_WRITE,
            peer="store",
            message=f"status object {key} changed at each of {WRITE_ATTEMPTS} attempts",
        )


def indexed(
    index: Index,
    configuration: Configuration,
    version: ConfigurationVersion,
    hour: int,
) -> Index:
    """Return the index after a configuration came into force in ``hour``.

    A removed service keeps its spans; a changed one gets a new span from the
    next hour on, so that spans do not overlap.
    """
    services = dict(index.services)
    for name in sorted({*services, *configuration.services}):
        spans = services.get(name, ())
        spec = configuration.services.get(name)
        current = spans[-1] if spans and spans[-1].last is None else None
        wanted = None
        if spec is not None:
            wanted = Listing(
                first=hour, depends_on=spec.depends_on, is_public=spec.listed
            )
        if current and wanted == msgspec.structs.replace(current, first=hour):
            continue
        if current:
            spans = (*spans[:-1], msgspec.structs.replace(current, last=hour))
        if wanted:
            first = max(hour, spans[-1].last + 1) if spans else hour
            spans = (*spans, msgspec.structs.replace(wanted, first=first))
        services[name] = spans
    return Index(version=version, services=services)


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
