/**
 * Shares suspects and quarantined requests with the fleet, and stores
 * quarantined requests.
 */
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
import type {CrashTracker, CrashCheckResult} from './crash_tracker.js';
import type {Quarantine, QuarantineStore} from './quarantine.js';
import type {RoutingPeers} from './routing_peers.js';
import type {RoutingSettings} from './settings.js';

/** Dependencies of the quarantine coordinator. */
export interface QuarantineCoordinatorParts {
  tracker: CrashTracker;
  quarantine: Quarantine;
  store: QuarantineStore;
  view: MembershipView;
  peers: RoutingPeers;
  clock: Clock;
  log: EventLog;
  settings: RoutingSettings;
}

/**
 * Keeps the suspects and the quarantine of this host in sync with the fleet.
 */
export class QuarantineCoordinator {
  /** Suspects and crash checks that this host knows. */
  readonly tracker: CrashTracker;
  /** Quarantined requests that this host knows. */
  readonly quarantine: Quarantine;

  /**
   * @param parts - dependencies
   */
  constructor(private readonly parts: QuarantineCoordinatorParts) {
    this.tracker = parts.tracker;
    this.quarantine = parts.quarantine;
  }

  /**
   * Starts a crash check on a server whose connection broke. All hosts block
   * the requests that the check may quarantine until the check has ended.
   *
   * @param serverId - the server
   * @param bootMarker - boot marker of the server before the connection broke
   * @param inFlight - fingerprints of the requests in flight on the server
   * @returns whether a new check was started
   */
  startCrashCheck(
    serverId: string,
    bootMarker: string,
    inFlight: string[],
  ): boolean {
    if (!this.tracker.startCrashCheck(serverId, bootMarker, inFlight))
      return false;
    const blocked = inFlight.filter((f) => this.tracker.isBlocked(f));
    this.publishSuspects(SuspicionKind.HELD, blocked, serverId);
    return true;
  }

  /**
   * Ends a crash check and reports new suspects and a quarantined request to
   * the fleet.
   */
  finishCrashCheck(serverId: string, result: CrashCheckResult): void {
    const outcome = this.tracker.finishCrashCheck(serverId, result);
    const quarantined = outcome.quarantined;
    if (quarantined) this.quarantineRequest(quarantined);
    const fingerprints = outcome.suspects.filter(
      (fingerprint) => fingerprint !== quarantined?.fingerprint,
    );
    this.publishSuspects(SuspicionKind.SUSPECTED, fingerprints, serverId);
  }

  /** Clears a suspect whose request completed, on all hosts. */
  clearSuspect(fingerprint: string): void {
    if (!this.tracker.clearSuspect(fingerprint)) return;
    this.publishSuspects(SuspicionKind.CLEARED, [fingerprint], '');
  }

  /** Reads the stored quarantine records and deletes expired ones. */
  async syncQuarantine(): Promise<void> {
    const stored = await this.parts.store.list();
    if (stored.isErr()) return;
    for (const record of stored.value) this.quarantine.add(record);
    const storedFingerprints = new Set(
      stored.value.map((record) => record.fingerprint),
    );
    for (const fingerprint of this.quarantine.listExpired()) {
      if (!storedFingerprints.has(fingerprint))
        this.quarantine.remove(fingerprint);
      else await this.parts.store.delete(fingerprint);
    }
  }

  /** Syncs the stored quarantine periodically until the signal is aborted. */
  async runQuarantineSync(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.syncQuarantine();
      const periodMs = this.parts.settings.quarantinePollPeriodMs;
      await this.parts.clock.sleep(periodMs, signal);
    }
  }

  private quarantineRequest(record: QuarantineRecord): void {
    if (!this.quarantine.add(record)) return;
    this.sendToFleet((peer) => this.parts.peers.convict(peer, record));
    void this.storeRecord(record);
  }

  /**
   * Stores a record, best effort: hosts that start later don't know a record
   * that could not be stored.
   */
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
    this.sendToFleet((peer) => this.parts.peers.suspect(peer, input));
  }

  /** Calls all other live daemons, best effort. */
  private sendToFleet(
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
