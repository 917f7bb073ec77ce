/** Daemons that decide on one rollout, a store with injected faults, and a manual clock. */
import {
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import {CallOutcome, type RolloutRow} from '@savoryspur/schema';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {decodeRolloutRow} from '../../src/rollout/rollout_row_store.js';
import {RolloutRule} from '../../src/rollout/rollout_rule.js';
import {
  DEFAULT_ROLLOUT_BOUNDS,
  type RolloutOrder,
} from '../../src/rollout/rollout_types.js';
import {ServiceRollout} from '../../src/rollout/service_rollout.js';
import type {PoolRequest, PoolServer} from '../../src/slots/pool_types.js';
import type {
  RowChanges,
  RowPage,
  RowRange,
  RowStore,
  RowTransaction,
  TableRow,
  TransactionOutcome,
} from '../../src/store/row_store.js';

export const SERVICE = 'model';
export const OLD = 'v1';
export const TARGET = 'v2';

/** Fault of the next write. */
export enum WriteFault {
  /** Fails before the write takes effect. */
  BEFORE = 'before',
  /** Takes effect, but its answer is lost. */
  AFTER = 'after',
}

/** Rows in memory. */
export class FakeStore {
  readonly rows = new Map<string, TableRow>();
  isDown = false;
  nextFault: WriteFault | undefined;
  calls = 0;
  private version = 10;

  constructor(private readonly clock: ManualClock) {}

  /** Creates the store as one daemon reaches it. */
  createView(isReachable: () => boolean): RowStore {
    return {
      read: (range) => this.read(range, isReachable()),
      transact: (transaction) => this.transact(transaction, isReachable()),
      listParts: () => okAsync(['']),
      watch: () => okAsync<RowChanges>({rows: [], version: this.version}),
      now: () => this.clock.now(),
    };
  }

  /** Finds a row. */
  find(table: string, key: string): TableRow | undefined {
    return this.rows.get(`${table}/${key}`);
  }

  private read(
    {table, start = ''}: RowRange,
    isReachable: boolean,
  ): ResultAsync<RowPage, SavoryspurError> {
    this.calls += 1;
    if (this.isDown || !isReachable) return errAsync(createError());
    const row = this.find(table, start);
    const rows = row ? [row] : [];
    return okAsync({rows, hasMore: false, version: this.version});
  }

  private transact(
    {conditions, writes}: RowTransaction,
    isReachable: boolean,
  ): ResultAsync<TransactionOutcome, SavoryspurError> {
    this.calls += 1;
    const fault = this.nextFault;
    this.nextFault = undefined;
    const isLost = this.isDown || !isReachable;
    if (isLost || fault === WriteFault.BEFORE) return errAsync(createError());
    const isMet = conditions.every(
      ({table, key, version}) =>
        (this.find(table, key)?.version ?? 0) === version,
    );
    if (!isMet) return okAsync({isCommitted: false, conflicts: []});
    this.version += 1;
    for (const write of writes) {
      const row = {...write, version: this.version};
      this.rows.set(`${write.table}/${write.key}`, row);
    }
    if (fault === WriteFault.AFTER) return errAsync(createError());
    return okAsync({isCommitted: true, conflicts: []});
  }
}

function createError(): SavoryspurError {
  const origin = {step: 'test', peer: 'store'};
  return new SavoryspurError(ErrorCode.UNAVAILABLE, origin, 'unavailable');
}

/** Daemon of the fleet. */
export interface RolloutDaemon {
  rollout: ServiceRollout;
  rule: RolloutRule;
  isOwner: boolean;
  isCutOff: boolean;
  isPaused: boolean;
}

/** How a request ended: the software version that ran it, undefined when none was allowed. */
export type ServedBy = string | undefined;

/** Fleet with one service. */
export class RolloutFleet {
  readonly clock = new ManualClock();
  readonly store = new FakeStore(this.clock);
  readonly daemons: RolloutDaemon[] = [];
  readonly log = new MemoryEventLog();
  /** Requests that reached each version. */
  readonly served = new Map<string, number>();
  order: RolloutOrder | undefined;
  ordersVersion = 5;
  /** Fraction of the calls to the target that fail. */
  badFraction = 0;
  targetServers = 8;
  oldServers = 40;
  private grants = 0;

  constructor(daemons: number) {
    for (let i = 0; i < daemons; i += 1) this.addDaemon();
    this.setOwner(0);
  }

  /** Adds a daemon; it replaces one that was killed when it gets the index of it. */
  addDaemon(index = this.daemons.length): RolloutDaemon {
    const state = {isOwner: false, isCutOff: false, isPaused: false};
    const rollout: ServiceRollout = new ServiceRollout({
      service: SERVICE,
      writer: `daemon-${index}-${this.clock.now()}`,
      store: this.store.createView(() => !daemon.isCutOff),
      clock: this.clock,
      log: this.log,
      bounds: DEFAULT_ROLLOUT_BOUNDS,
      encodeStatus: (status) => ({
        table: 'status',
        part: '',
        key: SERVICE,
        value: Buffer.from(JSON.stringify(status)),
      }),
      isOutageShared: () => this.store.isDown,
      getRowsAgeMs: () => (daemon.isCutOff ? 10_000 : 0),
      listVersions: () =>
        this.listServers().map(({softwareVersion}) => softwareVersion),
      listServerVersions: () =>
        this.listServers().map(({softwareVersion}) => softwareVersion),
    });
    const rule = new RolloutRule({
      getRollout: () => rollout,
      bounds: DEFAULT_ROLLOUT_BOUNDS,
      countGrant: () => undefined,
      countOutcome: () => undefined,
    });
    const daemon: RolloutDaemon = {...state, rollout, rule};
    this.daemons[index] = daemon;
    return daemon;
  }

  /** Makes one daemon the owner of the pool. */
  setOwner(index: number): void {
    this.daemons.forEach((daemon, i) => (daemon.isOwner = i === index));
  }

  /** Writes an order, as its row gets the next version. */
  putOrder(changes: Partial<RolloutOrder> = {}): void {
    this.ordersVersion += 1;
    this.order = {
      service: SERVICE,
      target: TARGET,
      durationMs: 60_000,
      orderVersion: this.ordersVersion,
      ...changes,
    };
  }

  /** Removes the order. */
  removeOrder(): void {
    this.ordersVersion += 1;
    this.order = undefined;
  }

  /** Lets every daemon that runs take its steps. */
  async advance(ms = 100): Promise<void> {
    this.clock.advance(ms);
    const row = this.getRow();
    const version = this.store.find('rollouts', SERVICE)?.version ?? 0;
    for (const daemon of this.daemons) {
      if (daemon.isPaused) continue;
      daemon.rollout.setOrder(this.order, this.ordersVersion);
      const canFollow = row && !daemon.isCutOff && !this.store.isDown;
      if (canFollow) daemon.rollout.applyRow(row, version);
      daemon.rule.setServers(this.listServers());
      await daemon.rollout.advance(daemon.isOwner);
    }
  }

  /** Advances with a number of requests in each step, at the owner by default. */
  async run(steps: number, requests = 20, index?: number): Promise<void> {
    for (let step = 0; step < steps; step += 1) {
      for (let i = 0; i < requests; i += 1) this.request(index);
      await this.advance();
    }
  }

  /** Sends a request to the pool of a daemon; the target is preferred if it is allowed. */
  request(index = this.findOwner(), softwareVersion?: string): ServedBy {
    const daemon = this.daemons[index];
    const request = {softwareVersion} as PoolRequest;
    const target = this.order?.target ?? TARGET;
    const isTarget = (server: PoolServer): number =>
      server.softwareVersion === target ? 1 : 0;
    const server = this.listServers()
      .sort((a, b) => isTarget(b) - isTarget(a))
      .find(
        (candidate) =>
          (softwareVersion ?? candidate.softwareVersion) ===
            candidate.softwareVersion &&
          daemon?.rule.isAllowed({server: candidate, used: 0}, request),
      );
    if (!server || !daemon) return undefined;
    this.finish(daemon, server);
    return server.softwareVersion;
  }

  /** Gets the row of the rollout. */
  getRow(): RolloutRow | undefined {
    const row = this.store.find('rollouts', SERVICE);
    return row && decodeRolloutRow(SERVICE, row.value)._unsafeUnwrap();
  }

  /** Gets the status that the operator reads. */
  getStatus(): {phase: string; target: string; reason?: string} | undefined {
    const row = this.store.find('status', SERVICE);
    if (!row?.value) return undefined;
    return JSON.parse(row.value.toString()) as {phase: string; target: string};
  }

  /** Counts the requests that a version got. */
  countServed(version: string): number {
    return this.served.get(version) ?? 0;
  }

  private findOwner(): number {
    return this.daemons.findIndex(({isOwner}) => isOwner);
  }

  private finish({rule}: RolloutDaemon, server: PoolServer): void {
    this.grants += 1;
    const version = server.softwareVersion;
    this.served.set(version, this.countServed(version) + 1);
    const grant = {
      grantId: `grant-${this.grants}`,
      holder: 'holder',
      serverId: server.id,
      isBatch: false,
      workspace: 'workspace',
      dueMs: 0,
      grantedMs: this.clock.now(),
      isPreempted: false,
    };
    const isBad =
      version === TARGET && this.grants % 100 < this.badFraction * 100;
    const outcome = isBad ? CallOutcome.FAILED : CallOutcome.SUCCEEDED;
    rule.recordGrant(grant, server);
    const times = {route: 'chat', events: 18, firstEventMs: 53, eventMs: 20};
    rule.recordRelease(grant, outcome, times);
  }

  private listServers(): PoolServer[] {
    const create = (softwareVersion: string, count: number): PoolServer[] =>
      Array.from({length: count}, (none, i) => ({
        id: `${softwareVersion}-${(i + this.grants) % count}`,
        zone: `zone-${((i + this.grants) % count) % 3}`,
        softwareVersion,
        slots: 8,
        coldUntilMs: 0,
      }));
    return [
      ...create(OLD, this.oldServers),
      ...create(TARGET, this.targetServers),
    ];
  }
}
