/**
 * The concurrency slots that this host holds, and its pending acquire requests.
 */
import type {Clock} from '@savoryspur/common';
import type {
  RegisteredSlot,
  PeerInfo,
  SlotTrafficClass,
  SlotServer,
  RegisterSlotsAnswer,
  WarmUpHint,
} from '@savoryspur/schema';

/** Time for which a warm-up hint is kept, milliseconds. */
const WARM_UP_HINT_LIFETIME_MS = 600_000;

/** A concurrency slot that this host holds. */
export interface HeldGrant {
  grantId: string;
  pool: string;
  workspace: string;
  trafficClass: SlotTrafficClass;
  fingerprint: string;
  server: SlotServer;
  /** Owners that count the slot as in use and get its release, by host. */
  owners: Map<string, PeerInfo>;
  /** Aborted when an owner revokes the slot. */
  revocation: AbortController;
}

/** Last warm-up hint of an owner on one server. */
interface ReceivedHint {
  pool: string;
  zone: string;
  hint: WarmUpHint;
  /** Monotonic time at which the hint was received. */
  receivedMs: number;
}

/** The owner that last asked for the held slots of a pool in a zone. */
export interface Registration {
  /** Host of the owner. */
  host: string;
  /** Increases with each registration on this host; 0 before the first. */
  sequence: number;
}

/** Joins a pool and a zone into one key. */
function formatPoolZoneKey(pool: string, zone: string): string {
  return `${pool}\u0000${zone}`;
}

/** The concurrency slots that this host holds. */
export class HeldGrants {
  private readonly grants = new Map<string, HeldGrant>();
  /** Pools of the pending acquire requests, by grant id. */
  private readonly pendingRequests = new Map<string, string>();
  private readonly receivedHints = new Map<string, ReceivedHint>();
  private readonly registrations = new Map<string, Registration>();
  private sequence = 0;

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {}

  /** Counts the held slots. */
  count(): number {
    return this.grants.size;
  }

  /** Marks an acquire request as pending at the owner of a pool. */
  beginRequest(grantId: string, pool: string): void {
    this.pendingRequests.set(grantId, pool);
  }

  /** Ends a pending acquire request that got no slot. */
  endRequest(grantId: string): void {
    this.pendingRequests.delete(grantId);
  }

  /** Adds a held slot, whose acquire request is no longer pending. */
  add(grant: HeldGrant): void {
    this.pendingRequests.delete(grant.grantId);
    this.grants.set(grant.grantId, grant);
  }

  /** Removes a held slot; returns undefined if the id is unknown. */
  remove(grantId: string): HeldGrant | undefined {
    const grant = this.grants.get(grantId);
    this.grants.delete(grantId);
    return grant;
  }

  /** Signals that a slot has to be released; an unknown id is ignored. */
  revoke(grantId: string): void {
    this.grants.get(grantId)?.revocation.abort();
  }

  /** Keeps an owner's warm-up hint on a server for the next owner. */
  recordWarmUpHint(server: SlotServer, hint: WarmUpHint): void {
    this.receivedHints.set(server.id, {
      pool: server.pool,
      zone: server.zone,
      hint,
      receivedMs: this.clock.now(),
    });
  }

  /** Gets the last registration of a pool's slots in a zone. */
  getRegistration(pool: string, zone: string): Registration {
    return (
      this.registrations.get(formatPoolZoneKey(pool, zone)) ?? {
        host: '',
        sequence: 0,
      }
    );
  }

  /**
   * Registers the held slots on a pool's servers of a zone with an owner, which
   * gets their releases from now on.
   *
   * @param owner - the owner that asks
   * @param pool - the pool
   * @param zone - the availability zone of the servers
   * @returns held slots, pending acquire requests and warm-up hints
   */
  register(owner: PeerInfo, pool: string, zone: string): RegisterSlotsAnswer {
    this.sequence += 1;
    this.registrations.set(formatPoolZoneKey(pool, zone), {
      host: owner.host,
      sequence: this.sequence,
    });
    const slots: RegisteredSlot[] = [];
    for (const grant of this.grants.values()) {
      if (grant.pool !== pool || grant.server.zone !== zone) continue;
      grant.owners.set(owner.host, owner);
      slots.push({
        grantId: grant.grantId,
        serverId: grant.server.id,
        workspace: grant.workspace,
        trafficClass: grant.trafficClass,
        fingerprint: grant.fingerprint,
      });
    }
    const pendingIds = [...this.pendingRequests]
      .filter(([, pendingPool]) => pendingPool === pool)
      .map(([grantId]) => grantId);
    return {
      places: slots,
      pendingIds,
      servers: this.listWarmUpHints(pool, zone),
    };
  }

  /**
   * Lists the warm-up hints of a pool's servers in a zone, and drops expired
   * hints.
   */
  private listWarmUpHints(pool: string, zone: string): WarmUpHint[] {
    const nowMs = this.clock.now();
    const hints: WarmUpHint[] = [];
    for (const [serverId, entry] of this.receivedHints) {
      const ageMs = nowMs - entry.receivedMs;
      if (ageMs > WARM_UP_HINT_LIFETIME_MS) this.receivedHints.delete(serverId);
      else if (entry.pool === pool && entry.zone === zone) {
        hints.push({...entry.hint, ageMs});
      }
    }
    return hints;
  }
}
