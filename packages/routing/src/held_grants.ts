/** The places that this host holds, and the wishes still under way. */
import type {Clock} from '@savoryspur/common';
import type {
  RegisteredSlot,
  PeerInfo,
  SlotTrafficClass,
  SlotServer,
  RegisterSlotsAnswer,
  WarmUpHint,
} from '@savoryspur/schema';

/** Time for which word of a server's warmth is worth keeping, milliseconds. */
const KNOWLEDGE_MS = 600_000;

/** A place that this host holds. */
export interface HeldGrant {
  grantId: string;
  pool: string;
  workspace: string;
  trafficClass: SlotTrafficClass;
  fingerprint: string;
  server: SlotServer;
  /** Owners that count the place, by host. */
  owners: Map<string, PeerInfo>;
  /** Aborted when the place is taken back. */
  revocation: AbortController;
}

/** What an owner last said of a server. */
interface HeardKnowledge {
  pool: string;
  zone: string;
  knowledge: WarmUpHint;
  heardMs: number;
}

/** The owner that last asked for the places on some servers. */
export interface Registration {
  /** Host of the owner. */
  host: string;
  /** Grows with each registration on this host. */
  sequence: number;
}

/** Joins a pool and a zone into one key. */
function formatKey(pool: string, zone: string): string {
  return `${pool}\u0000${zone}`;
}

/** The places that this host holds. */
export class HeldGrants {
  private readonly held = new Map<string, HeldGrant>();
  private readonly pending = new Map<string, string>();
  private readonly heard = new Map<string, HeardKnowledge>();
  private readonly registrations = new Map<string, Registration>();
  private sequence = 0;

  /**
   * @param clock - source of time
   */
  constructor(private readonly clock: Clock) {}

  /** Counts the held places. */
  count(): number {
    return this.held.size;
  }

  /** Marks a wish as under way at the owner of a pool. */
  begin(grantId: string, pool: string): void {
    this.pending.set(grantId, pool);
  }

  /** Ends a wish that got no place. */
  end(grantId: string): void {
    this.pending.delete(grantId);
  }

  /** Adds a place in use. */
  add(holding: HeldGrant): void {
    this.pending.delete(holding.grantId);
    this.held.set(holding.grantId, holding);
  }

  /** Takes a place out of use. */
  remove(grantId: string): HeldGrant | undefined {
    const holding = this.held.get(grantId);
    this.held.delete(grantId);
    return holding;
  }

  /** Fires the revocation of a place. */
  revoke(grantId: string): void {
    this.held.get(grantId)?.revocation.abort();
  }

  /** Keeps what an owner said of a server, for the next owner. */
  recordKnowledge(server: SlotServer, knowledge: WarmUpHint): void {
    this.heard.set(server.id, {
      pool: server.pool,
      zone: server.zone,
      knowledge,
      heardMs: this.clock.now(),
    });
  }

  /** Gets the last registration of a pool's places in a zone. */
  getRegistration(pool: string, zone: string): Registration {
    return (
      this.registrations.get(formatKey(pool, zone)) ?? {host: '', sequence: 0}
    );
  }

  /** Registers the places on a pool's servers of a zone with an owner. */
  register(owner: PeerInfo, pool: string, zone: string): RegisterSlotsAnswer {
    this.sequence += 1;
    this.registrations.set(formatKey(pool, zone), {
      host: owner.host,
      sequence: this.sequence,
    });
    const places: RegisteredSlot[] = [];
    for (const holding of this.held.values()) {
      if (holding.pool !== pool || holding.server.zone !== zone) continue;
      holding.owners.set(owner.host, owner);
      places.push({
        grantId: holding.grantId,
        serverId: holding.server.id,
        workspace: holding.workspace,
        trafficClass: holding.trafficClass,
        fingerprint: holding.fingerprint,
      });
    }
    const pendingIds = [...this.pending]
      .filter(([, pendingPool]) => pendingPool === pool)
      .map(([grantId]) => grantId);
    return {places, pendingIds, servers: this.listKnowledge(pool, zone)};
  }

  private listKnowledge(pool: string, zone: string): WarmUpHint[] {
    const nowMs = this.clock.now();
    const known: WarmUpHint[] = [];
    for (const [serverId, entry] of this.heard) {
      const ageMs = nowMs - entry.heardMs;
      if (ageMs > KNOWLEDGE_MS) this.heard.delete(serverId);
      else if (entry.pool === pool && entry.zone === zone) {
        known.push({...entry.knowledge, ageMs});
      }
    }
    return known;
  }
}
