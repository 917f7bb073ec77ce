/** Servers of one slot pool, with the slots on them that are granted and those that are free. */
import type {HeldSlot} from '@savoryspur/schema';
import {ColdServerLimiter} from './cold_server_limiter.js';
import {type Grant, GrantTable} from './grant_table.js';
import type {PoolServer} from './pool_types.js';
import type {PoolEntry} from './server_score.js';
import {isOfVersion, type SlotRequest} from './slot_allocator.js';

/** Slots on the servers of one pool, granted or free. */
export class PoolSlots {
  private readonly entries = new Map<string, PoolEntry>();
  private readonly grantTable = new GrantTable();
  /** Slots of all servers that accept new work, in use or not. */
  private totalSlots = 0;
  /** Slots of these servers that are not in use. */
  private freeSlots = 0;

  /** Granted slots, also on servers that no longer accept new work; changed only through {@link addGrant} and {@link removeGrant}. */
  get grants(): Omit<GrantTable, 'add' | 'remove'> {
    return this.grantTable;
  }

  /**
   * Replaces the servers that accept new work. Grants on other servers are kept
   * until they are removed.
   */
  setServers(servers: readonly PoolServer[]): void {
    const ids = new Set(servers.map((server) => server.id));
    for (const id of this.entries.keys()) {
      if (!ids.has(id)) this.entries.delete(id);
    }
    for (const server of servers) {
      const entry = this.entries.get(server.id);
      if (entry) entry.server = server;
      else this.entries.set(server.id, this.createEntry(server));
    }
    this.updateSlotCounts();
  }

  private createEntry(server: PoolServer): PoolEntry {
    return {
      server,
      used: this.grantTable.countOnServer(server.id),
      // Only the fractional limits of many standalone daemons need first requests
      // that are spread over time; an owner's limit allows whole requests.
      coldLimiter: new ColdServerLimiter(() => 0),
      prefixes: new Set(),
      lastUsedMsByHolder: new Map(),
    };
  }

  private updateSlotCounts(): void {
    this.totalSlots = 0;
    this.freeSlots = 0;
    for (const {server, used} of this.entries.values()) {
      this.totalSlots += server.slots;
      this.freeSlots += Math.max(0, server.slots - used);
    }
  }

  /** Counts the slots of all servers that accept new work, in use or not. */
  countAll(): number {
    return this.totalSlots;
  }

  /** Counts the slots of these servers that are not in use. */
  countFree(): number {
    return this.freeSlots;
  }

  /** Finds a server that accepts new work. */
  findEntry(serverId: string): PoolEntry | undefined {
    return this.entries.get(serverId);
  }

  /** Lists the servers that accept new work. */
  listEntries(): Iterable<PoolEntry> {
    return this.entries.values();
  }

  /** Lists the ids of the servers that accept new work. */
  listServerIds(): Iterable<string> {
    return this.entries.keys();
  }

  /** Whether a server that accepts new work has the software version that a request asks for. */
  hasServerOfVersion(request: Pick<SlotRequest, 'softwareVersion'>): boolean {
    if (request.softwareVersion === undefined) return true;
    for (const {server} of this.entries.values()) {
      if (isOfVersion(server, request)) return true;
    }
    return false;
  }

  /** Adds a grant. Grants have to be added in the order of their grant times. */
  addGrant(grant: Grant): void {
    this.grantTable.add(grant);
    const entry = this.entries.get(grant.serverId);
    if (!entry) return;
    if (entry.used < entry.server.slots) this.freeSlots -= 1;
    entry.used += 1;
  }

  /** Removes a grant. */
  removeGrant(grant: Grant): void {
    this.grantTable.remove(grant);
    const entry = this.entries.get(grant.serverId);
    if (!entry) return;
    entry.used -= 1;
    if (entry.used < entry.server.slots) this.freeSlots += 1;
  }

  /**
   * Reconciles the grants of a holder with the held slots that it lists. Listed
   * slots without a grant were granted by a former owner and are added; grants
   * that are not listed have ended and are removed, unless they are so recent
   * that the holder may not have received them when it made the list.
   *
   * @param holder - host of the daemon
   * @param heldSlots - slots that the daemon uses
   * @param nowMs - current time, monotonic milliseconds
   * @param graceMs - age up to which a grant that is not listed is kept,
   *     milliseconds
   */
  reconcileHolder(
    holder: string,
    heldSlots: readonly HeldSlot[],
    nowMs: number,
    graceMs: number,
  ): void {
    const heldGrantIds = new Set(heldSlots.map((heldSlot) => heldSlot.grantId));
    for (const grant of this.grantTable.listByHolder(holder)) {
      if (heldGrantIds.has(grant.grantId)) continue;
      if (nowMs - grant.grantedMs > graceMs) this.removeGrant(grant);
    }
    for (const heldSlot of heldSlots) {
      if (this.grantTable.has(heldSlot.grantId)) continue;
      this.addGrant({
        ...heldSlot,
        holder,
        dueMs: nowMs + heldSlot.dueInMs,
        grantedMs: nowMs,
        isPreempted: false,
      });
    }
  }
}
