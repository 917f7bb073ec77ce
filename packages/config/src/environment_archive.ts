/**
 * Limits the rows and objects of an environment in storage: moves old changes
 * from rows into archive objects and deletes old snapshots.
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
  parseChangeRow,
  parseSnapshotVersion,
} from './environment_rows.js';

/** Default number of newest changes that stay in rows. */
const DEFAULT_KEPT_CHANGE_ROWS = 2000;

/** Number of changes in one archive object. */
const CHANGES_PER_ARCHIVE_OBJECT = 200;

/** Dependencies of the archive. */
export interface ArchiveContext {
  /** Stores the rows of changes. */
  table: TableService;
  /** Stores snapshots and archived changes. */
  objects: ObjectStore;
  /** Number of newest changes that stay in rows. */
  keptChangeRows?: number;
}

/** Archives old changes, deletes old snapshots and reads archived changes. */
export class EnvironmentArchive {
  /** @param context - table and objects */
  constructor(private readonly context: ArchiveContext) {}

  /**
   * Archives old changes and deletes old snapshots after a new snapshot was
   * written. A failure leaves old rows or objects in storage, which the next
   * call removes.
   *
   * @param environment - name of the environment
   * @param version - newest version of the environment
   * @param oldestKeptSnapshot - version of the oldest snapshot to keep
   */
  async archiveAndPrune(
    environment: string,
    version: number,
    oldestKeptSnapshot: number,
  ): Promise<void> {
    const {objects, keptChangeRows = DEFAULT_KEPT_CHANGE_ROWS} = this.context;
    await this.archiveOldRows(environment, version - keptChangeRows);
    const names = await objects.list(formatSnapshotPrefix(environment));
    for (const name of names.unwrapOr([])) {
      if (parseSnapshotVersion(name) >= oldestKeptSnapshot) continue;
      await objects.delete(name);
    }
  }

  /**
   * Reads archived changes.
   *
   * @param environment - name of the environment
   * @param afterVersion - version after which to start
   * @param lastVersion - last version to read
   * @returns the changes in the order of their versions
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

  /**
   * Archives the changes up to a version in complete batches. The rows of a
   * batch are deleted after the archive object was stored.
   */
  private async archiveOldRows(
    environment: string,
    lastVersion: number,
  ): Promise<void> {
    const {table, objects} = this.context;
    while (lastVersion >= CHANGES_PER_ARCHIVE_OBJECT) {
      const prefix = formatChangePrefix(environment);
      const rows = await table.scan({
        prefix,
        limit: CHANGES_PER_ARCHIVE_OBJECT,
      });
      if (rows.isErr() || rows.value.length < CHANGES_PER_ARCHIVE_OBJECT)
        return;
      const changes: EnvironmentChange[] = [];
      for (const row of rows.value) {
        const change = parseChangeRow(row);
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
