/** Orders the zones that can serve a pool, nearest first. */
import type {EnvironmentIndex, EnvironmentSource} from '@savoryspur/common';
import type {PeerInfo, Zone} from '@savoryspur/schema';

/** Distance of a zone from this host. */
enum ZoneDistance {
  SAME_ZONE,
  SAME_REGION,
  OTHER_REGION,
}

/**
 * Zones that are in service and have servers, by pool, for the configuration in
 * force.
 */
export class ZoneOrder {
  private index: EnvironmentIndex | undefined;
  private zonesOfPool = new Map<string, string[][]>();
  private rotation = 0;

  /**
   * @param environment - source of the configuration in force
   * @param self - this host
   */
  constructor(
    private readonly environment: EnvironmentSource,
    private readonly self: PeerInfo,
  ) {}

  /**
   * Tells whether a zone is in service, so that its servers may get new work.
   */
  isZoneInService(zone: string): boolean {
    return this.environment.getCurrent()?.isZoneIn(zone) ?? false;
  }

  /**
   * Lists the zones that can serve a pool, nearest first; the order of equally
   * near zones rotates with each call.
   */
  list(pool: string): string[] {
    const index = this.environment.getCurrent();
    if (!index) return [];
    if (index !== this.index) this.build(index);
    this.rotation += 1;
    const groups = this.zonesOfPool.get(pool) ?? [];
    return groups.flatMap((group) => {
      const start = this.rotation % Math.max(group.length, 1);
      return [...group.slice(start), ...group.slice(0, start)];
    });
  }

  private build(index: EnvironmentIndex): void {
    this.index = index;
    this.zonesOfPool = new Map();
    const zones = new Map(index.listZonesIn().map((zone) => [zone.name, zone]));
    const seen = new Set<string>();
    for (const server of index.document.servers) {
      const zone = zones.get(server.zone);
      const key = `${server.pool}\u0000${server.zone}`;
      if (!zone || seen.has(key)) continue;
      seen.add(key);
      this.add(server.pool, zone);
    }
  }

  private add(pool: string, zone: Zone): void {
    const groups = this.zonesOfPool.get(pool) ?? [[], [], []];
    this.zonesOfPool.set(pool, groups);
    groups[this.computeDistance(zone)]?.push(zone.name);
  }

  private computeDistance(zone: Zone): ZoneDistance {
    if (zone.name === this.self.zone) return ZoneDistance.SAME_ZONE;
    if (zone.region === this.self.region) return ZoneDistance.SAME_REGION;
    return ZoneDistance.OTHER_REGION;
  }
}
