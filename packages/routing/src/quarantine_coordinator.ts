/** Tells the fleet of suspects and convicted requests, and keeps the latter. */
import {
  type Clock,
  type EventLog,
  RoutingEvent,
  type SavoryspurError,
} from '@savoryspur/common';
import type {MembershipView} from '@savoryspur/fleet';
import {
  type PeerInfo,
  type QuarantineRecord,
  SuspicionKind,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import type {CrashTracker, CrashVerdict} from './crash_tracker.js';
import type {Quarantine, QuarantineStore} from './quarantine.js';
import type {RoutingPeers} from './routing_peers.js';
import type {RoutingSettings} from './settings.js';

/** What the reporter works with. */
export interface CrashReporterParts {
  tracker: CrashTracker;
  quarantine: Quarantine;
  store: QuarantineStore;
  view: MembershipView;
  peers: RoutingPeers;
  clock: Clock;
  log: EventLog;
  settings: RoutingSettings;
}

/** Suspects and quarantine of this host, in step with the fleet. */
export class QuarantineCoordinator {
  /** Suspects known to this host. */
  readonly tracker: CrashTracker;
  /** Quarantined requests known to this host. */
  readonly quarantine: Quarantine;

  /**
   * @param parts - what the reporter works with
   */
  constructor(private readonly parts: CrashReporterParts) {
    this.tracker = parts.tracker;
    this.quarantine = parts.quarantine;
  }

  /**
   * Opens a verdict on a server whose connection broke. A request that it may
   * convict is held back by all hosts until the verdict is closed.
   *
   * @returns whether the verdict is a new one
   */
  openVerdict(serverId: string, boot: string, inFlight: string[]): boolean {
    if (!this.tracker.openVerdict(serverId, boot, inFlight)) return false;
    const held = inFlight.filter((f) => this.tracker.isHeldBack(f));
    this.publishSuspects(SuspicionKind.HELD, held, serverId);
    return true;
  }

  /** Closes a verdict and tells the fleet what follows from it. */
  closeVerdict(serverId: string, verdict: CrashVerdict): void {
    const outcome = this.tracker.closeVerdict(serverId, verdict);
    const convicted = outcome.convicted;
    if (convicted) this.quarantineRequest(convicted);
    const fingerprints = outcome.suspects.filter(
      (fingerprint) => fingerprint !== convicted?.fingerprint,
    );
    this.publishSuspects(SuspicionKind.SUSPECTED, fingerprints, serverId);
  }

  /** Clears a suspect that ran to its end, on all hosts. */
  clearSuspect(fingerprint: string): void {
    if (!this.tracker.clearSuspect(fingerprint)) return;
    this.publishSuspects(SuspicionKind.CLEARED, [fingerprint], '');
  }

  /** Reads the stored quarantine and deletes what has ended. */
  async updateQuarantine(): Promise<void> {
    const stored = await this.parts.store.list();
    if (stored.isErr()) return;
    for (const record of stored.value) this.quarantine.add(record);
    const names = new Set(stored.value.map((record) => record.fingerprint));
    for (const fingerprint of this.quarantine.listExpired()) {
      if (!names.has(fingerprint)) this.quarantine.remove(fingerprint);
      else await this.parts.store.delete(fingerprint);
    }
  }

  /** Reads the stored quarantine from time to time. */
  async runUpdates(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.updateQuarantine();
      const periodMs = this.parts.settings.quarantinePollMs;
      await this.parts.clock.sleep(periodMs, signal);
    }
  }

  private quarantineRequest(record: QuarantineRecord): void {
    if (!this.quarantine.add(record)) return;
    this.publish((peer) => this.parts.peers.convict(peer, record));
    void this.storeRecord(record);
  }

  private async storeRecord(record: QuarantineRecord): Promise<void> {
    const result = await this.parts.store.store(record);
    if (result.isOk()) return;
    this.parts.log.record(RoutingEvent.QUARANTINE_NOT_STORED, {
      step: result.error.origin.step,
      peer: result.error.origin.peer,
      fingerprint: record.fingerprint,
    });
  }

  private publishSuspects(
    kind: SuspicionKind,
    fingerprints: string[],
    serverId: string,
  ): void {
    if (fingerprints.length === 0) return;
    const input = {kind, fingerprints, serverId};
    this.publish((peer) => this.parts.peers.suspect(peer, input));
  }

  private publish(
    send: (peer: PeerInfo) => ResultAsync<void, SavoryspurError>,
  ): void {
    const {view} = this.parts;
    for (const zone of view.listZones()) {
      for (const peer of view.listAlive(zone)) {
        if (peer.host !== view.self.host) void send(peer);
      }
    }
  }
}
