/** Stores quarantined requests as rows of the table service. */
import type {SavoryspurError} from '@savoryspur/common';
import type {TableService} from '@savoryspur/storage';
import type {QuarantineStore} from '@savoryspur/routing';
import {
  type QuarantineRecord,
  validateQuarantineRecord,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

const ROW_KEY_PREFIX = 'quarantine/';

/** Maximum number of quarantine rows that one scan reads. */
const MAX_ROWS = 1000;

/** Quarantine store on the table service, shared by all daemons. */
export class TableQuarantineStore implements QuarantineStore {
  /**
   * @param table - table service
   */
  constructor(private readonly table: TableService) {}

  /** {@inheritDoc QuarantineStore.store} */
  store(record: QuarantineRecord): ResultAsync<void, SavoryspurError> {
    const key = `${ROW_KEY_PREFIX}${record.fingerprint}`;
    return this.table
      .transact({
        conditions: [{key, version: 0}],
        writes: [{key, value: record}],
      })
      .map(() => undefined);
  }

  /** {@inheritDoc QuarantineStore.list} */
  list(): ResultAsync<QuarantineRecord[], SavoryspurError> {
    return this.table
      .scan({prefix: ROW_KEY_PREFIX, limit: MAX_ROWS})
      .map((rows) => {
        const records: QuarantineRecord[] = [];
        for (const row of rows) {
          const record = validateQuarantineRecord(row.value);
          if (record.isOk()) records.push(record.value);
        }
        return records;
      });
  }

  /** {@inheritDoc QuarantineStore.delete} */
  delete(fingerprint: string): ResultAsync<void, SavoryspurError> {
    const key = `${ROW_KEY_PREFIX}${fingerprint}`;
    return this.table
      .transact({conditions: [], writes: [{key}]})
      .map(() => undefined);
  }
}
