/**
 * Keeps the platform's rows and objects of an environment bounded: old changes
 * move from rows into archive objects, old snapshots are deleted.
 */
import type {SavoryspurError} from '@savoryspur/common';
import type {ObjectStore, TableService} from '@savoryspur/storage';
import type {EnvironmentChange} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import {
  formatArchiveName,
  formatArchivePrefix,
  formatChangePrefix,
  formatSnapshotPrefix,
  parseArchiveName,
  parseChange,
  parseSnapshotVersion,
} from './environment_rows.js';

/** Changes that stay in rows when no number is given. */
const DEFAULT_KEPT_CHANGES = 2000;

/** Changes in one archive object. */
const ARCHIVED_CHANGES = 200;

/** What the archive needs. */
export interface ArchiveContext {
  /** Holds the rows of changes. */
  table: TableService;
  /** Holds snapshots and archives. */
  objects: ObjectStore;
  /** Changes that stay in rows. */
  keptChanges?: number;
}

/** Moves and deletes what is old. */
export class EnvironmentArchive {
  /** @param context - table and objects */
  constructor(private readonly context: ArchiveContext) {}

  /**
   * Cleans up after a snapshot. A failure leaves more than is needed; the next
   * run goes on.
   *
   * @param environment - name of the environment
   * @param version - newest version
   * @param keptSnapshot - version of the oldest snapshot to keep
   */
  async drain(
    environment: string,
    version: number,
    keptSnapshot: number,
  ): Promise<void> {
    const {objects, keptChanges = DEFAULT_KEPT_CHANGES} = this.context;
    await this.storeOldRows(environment, version - keptChanges);
    const names = await objects.list(formatSnapshotPrefix(environment));
    for (const name of names.unwrapOr([])) {
      if (parseSnapshotVersion(name) >= keptSnapshot) continue;
      await objects.delete(name);
    }
  }

  /**
   * Reads archived changes.
   *
   * @param environment - name of the environment
   * @param afterVersion - version after which to start
   * @param lastVersion - last version
   * @returns changes in order
   */
  async read(
    environment: string,
    afterVersion: number,
    lastVersion: number,
  ): Promise<Result<EnvironmentChange[], SavoryspurError>> {
    const {objects} = this.context;
    const names = await objects.list(formatArchivePrefix(environment));
    if (names.isErr()) return err(names.error);
    const changes: EnvironmentChange[] = [];
    for (const name of names.value) {
      const {first, last} = parseArchiveName(name);
      if (last <= afterVersion || first > lastVersion) continue;
      const body = await objects.get(name);
      if (body.isErr()) return err(body.error);
      const archived = JSON.parse(
        body.value.toString('utf8'),
      ) as EnvironmentChange[];
      changes.push(...archived);
    }
    return ok(
      changes.filter(
        ({version}) => version > afterVersion && version <= lastVersion,
      ),
    );
  }

  /** Stores whole batches of old changes, then deletes their rows. */
  private async storeOldRows(
    environment: string,
    lastVersion: number,
  ): Promise<void> {
    const {table, objects} = this.context;
    while (lastVersion >= ARCHIVED_CHANGES) {
      const prefix = formatChangePrefix(environment);
      const rows = await table.scan({prefix, limit: ARCHIVED_CHANGES});
      if (rows.isErr() || rows.value.length < ARCHIVED_CHANGES) return;
      const changes: EnvironmentChange[] = [];
      for (const row of rows.value) {
        const change = parseChange(row);
        if (change.isErr()) return;
        changes.push(change.value);
      }
      const first = changes[0]?.version ?? 0;
      const last = changes.at(-1)?.version ?? 0;
      if (last > lastVersion) return;
      const name = formatArchiveName(environment, first, last);
      const body = Buffer.from(JSON.stringify(changes));
      const stored = await objects.put(name, body);
      if (stored.isErr()) return;
      const deleted = await table.transact({
        conditions: rows.value.map(({key, version}) => ({key, version})),
        writes: rows.value.map(({key}) => ({key})),
      });
      if (deleted.isErr() || !deleted.value.committed) return;
    }
  }
}
