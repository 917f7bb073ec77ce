/** Rows of the store that hold the heartbeats of the daemons, one for each host. */
import {
  type EventLog,
  type SavoryspurError,
  ServingEvent,
} from '@savoryspur/common';
import type {MemberRow} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {RowStore} from '../store/row_store.js';
import {MEMBER_TABLE} from '../store/tables.js';

/** Timeout of one call to the store, milliseconds. */
const STORE_CALL_TIMEOUT_MS = 800;

/** Reads and writes the rows; failed writes are logged. */
export class MemberRows {
  /**
   * @param store - the store
   * @param log - log of failed writes
   */
  constructor(
    private readonly store: RowStore,
    private readonly log: EventLog,
  ) {}

  /** Reads the rows of all daemons. */
  read(): ReturnType<RowStore['read']> {
    return this.store.read({table: MEMBER_TABLE, part: ''});
  }

  /**
   * Writes the row of a daemon.
   *
   * @returns whether the store accepted it
   */
  write(row: MemberRow): Promise<boolean> {
    const value = Buffer.from(JSON.stringify(row));
    const name = createName(row.host);
    return this.recordFailure(
      this.store.transact(
        {conditions: [], writes: [{...name, value}]},
        STORE_CALL_TIMEOUT_MS,
      ),
    );
  }

  /**
   * Deletes the row of a daemon.
   *
   * @param host - host of the daemon
   * @param version - version that the row must have; any when undefined
   */
  async remove(host: string, version?: number): Promise<void> {
    const name = createName(host);
    const conditions = version === undefined ? [] : [{...name, version}];
    await this.recordFailure(
      this.store.transact(
        {conditions, writes: [], removals: [name]},
        STORE_CALL_TIMEOUT_MS,
      ),
    );
  }

  private async recordFailure(
    call: ResultAsync<unknown, SavoryspurError>,
  ): Promise<boolean> {
    const result = await call;
    if (result.isOk()) return true;
    this.log.record(ServingEvent.HEARTBEAT_FAILED, {
      step: 'members.write',
      reason: result.error.message,
    });
    return false;
  }
}

function createName(host: string): {table: string; part: string; key: string} {
  return {table: MEMBER_TABLE, part: '', key: host};
}
