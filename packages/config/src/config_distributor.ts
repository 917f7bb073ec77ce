/**
 * Brings each version to all daemons: two readers a zone poll the platform,
 * tell their zone over relays and tell the readers of other zones. Every other
 * host polls slowly, so that a lost message only costs time.
 */
import {
  type ConfigFetch,
  type ConfigFetchAnswer,
  type ConfigPush,
  type ConfigPushAnswer,
  type EnvironmentChange,
  type PeerInfo,
} from '@savoryspur/schema';
import {
  ConfigPeerReader,
  type PeerReaderContext,
} from './config_peer_reader.js';
import type {ConfigPeerService} from './config_router.js';
import {
  isReader,
  listRelays,
  listRelayShare,
  listZonePartners,
} from './distribution_plan.js';
import {createSnapshot} from './environment_state.js';
import type {Committed} from './environment_writer.js';

/** Polls of a reader in the time of one poll of another host. */
const SLOW_POLL_FACTOR = 5;

/** Share of a slow period by which it varies up and down. */
const SLOW_POLL_JITTER = 0.25;

/** Most changes in one message. */
const MAX_PUSHED_CHANGES = 32;

/** What the distributor needs. */
export interface DistributorContext extends PeerReaderContext {
  /** Period of a reader's polls, milliseconds. */
  pollMs: number;
}

/** Polls, tells and asks. */
export class ConfigDistributor implements ConfigPeerService {
  private readonly wantedVersions = new Map<string, number>();
  private readonly peerReader: ConfigPeerReader;
  private publishedVersion = 0;

  /** @param context - follower, fleet and clock */
  constructor(private readonly context: DistributorContext) {
    this.peerReader = new ConfigPeerReader(context);
  }

  /** Polls the platform, or asks peers while it is away, until the signal. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, follower, pollMs, view} = this.context;
    let nextPollMs = clock.now();
    while (!signal.aborted) {
      const isStarting = follower.getState().version === 0;
      if (isStarting || isReader(view) || clock.now() >= nextPollMs) {
        await this.pollOnce();
        nextPollMs = clock.now() + this.computeSlowPeriod();
      }
      await clock.sleep(pollMs, signal);
    }
  }

  /** Polls once; asks peers when the platform does not answer. */
  async pollOnce(): Promise<void> {
    const {follower, view} = this.context;
    const before = follower.getState().version;
    const isAnswered = await follower.poll();
    if (!isAnswered) await this.peerReader.fetchNewest();
    if (follower.getState().version === before || !isReader(view)) return;
    this.publishToZone();
    if (isAnswered) this.publishToZones();
  }

  /** Puts a change in force that was committed through this host. */
  applyCommit(environment: string, committed: Committed): void {
    if (environment !== this.context.environment) return;
    const changes = committed.change ? [committed.change] : [];
    if (!this.context.follower.update(committed.state, changes)) return;
    this.publishToZone();
    this.publishToZones();
  }

  /** {@inheritDoc ConfigPeerService.handlePush} */
  handlePush(push: ConfigPush, caller: PeerInfo): ConfigPushAnswer {
    const {environment, follower, view} = this.context;
    const {version} = follower.getState();
    if (push.environment !== environment) return {version: 0};
    if (push.version <= version) return {version};
    const isUpdated =
      follower.updateWithChanges(push.changes) &&
      follower.getState().version >= push.version;
    if (isUpdated) this.forward(push.relay, isReader(view));
    else void this.fetchMissing(caller, push.version, push.relay);
    return {version};
  }

  /** {@inheritDoc ConfigPeerService.handleFetch} */
  handleFetch(fetch: ConfigFetch): ConfigFetchAnswer {
    const {environment, follower} = this.context;
    if (fetch.environment !== environment) return {version: 0, changes: []};
    const state = follower.getState();
    const age = follower.getAge();
    const answer = {
      version: state.version,
      changes: follower.listChanges(fetch.afterVersion) ?? [],
      ...(age !== undefined && {ageMs: Math.ceil(age)}),
    };
    if (!fetch.whole || state.version === 0) return answer;
    return {...answer, changes: [], snapshot: createSnapshot(state)};
  }

  /**
   * Asks one daemon for what this host lacks. A version that is told meanwhile
   * is asked for afterwards.
   */
  private async fetchMissing(
    peer: PeerInfo,
    version: number,
    isRelay: boolean,
  ): Promise<void> {
    const {follower, view} = this.context;
    const isBusy = this.wantedVersions.has(peer.host);
    this.wantedVersions.set(peer.host, version);
    if (isBusy) return;
    const before = follower.getState().version;
    let asked = 0;
    while (asked < (this.wantedVersions.get(peer.host) ?? 0)) {
      asked = this.wantedVersions.get(peer.host) ?? 0;
      if (asked > follower.getState().version)
        await this.peerReader.fetchNewer(peer);
    }
    this.wantedVersions.delete(peer.host);
    if (follower.getState().version === before) return;
    this.forward(isRelay, isReader(view));
  }

  private forward(isRelay: boolean, isZoneReader: boolean): void {
    const {follower, view} = this.context;
    const {version} = follower.getState();
    if (isZoneReader) this.publishToZone();
    else if (isRelay) this.pushTo(listRelayShare(view, version), false);
    this.publishedVersion = version;
  }

  private publishToZone(): void {
    const {follower, view} = this.context;
    const {version} = follower.getState();
    this.pushTo(listRelays(view, version), true);
    this.pushTo(listRelayShare(view, version), false);
    this.publishedVersion = version;
  }

  /** Other zones are told the version only; who lacks it asks. */
  private publishToZones(): void {
    this.send(listZonePartners(this.context.view), [], false);
  }

  private pushTo(peers: readonly PeerInfo[], relay: boolean): void {
    this.send(peers, this.listNewestChanges(), relay);
  }

  private send(
    peers: readonly PeerInfo[],
    changes: EnvironmentChange[],
    relay: boolean,
  ): void {
    const {environment, follower} = this.context;
    const {version, digest} = follower.getState();
    const push = {environment, version, digest, changes, relay};
    for (const peer of peers) void this.sendOne(peer, push);
  }

  private async sendOne(peer: PeerInfo, push: ConfigPush): Promise<void> {
    await this.context.peers.request(peer, 'config.push', (client, signal) =>
      client.config.push.mutate(push, {signal}),
    );
  }

  /** Changes since the last message; who lacks more asks for it. */
  private listNewestChanges(): EnvironmentChange[] {
    const changes = this.context.follower.listChanges(this.publishedVersion);
    return changes?.slice(-MAX_PUSHED_CHANGES) ?? [];
  }

  private computeSlowPeriod(): number {
    const jitter = 1 + SLOW_POLL_JITTER * (2 * this.getRandom() - 1);
    return this.context.pollMs * SLOW_POLL_FACTOR * jitter;
  }

  private getRandom(): number {
    return (this.context.random ?? Math.random)();
  }
}
