/**
 * Distributes new versions of the configuration to all daemons. Two pollers in
 * each zone poll storage at a short period, push changes to their zone by way
 * of relays and notify the pollers of the other zones. All other daemons poll
 * at a longer period (slow polls), so that a lost push only delays a version.
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
  ConfigPeerFetcher,
  type PeerFetcherContext,
} from './config_peer_fetcher.js';
import type {ConfigPeerService} from './config_router.js';
import {
  isZonePoller,
  listRelays,
  listRelayTargets,
  listCounterpartPollers,
} from './distribution_plan.js';
import {createSnapshot} from './environment_state.js';
import type {CommitResult} from './environment_writer.js';

/** Slow poll period, at which the other daemons poll, as a multiple of that of a zone poller. */
const SLOW_POLL_PERIOD_FACTOR = 5;

/** Jitter of the slow poll period, up or down, as a fraction of the period. */
const SLOW_POLL_JITTER_FRACTION = 0.25;

/** Maximum number of changes in one `config.push` call. */
const MAX_CHANGES_PER_PUSH = 32;

/** Dependencies of the distributor. */
export interface DistributorContext extends PeerFetcherContext {
  /** Poll period of a zone poller, milliseconds. */
  pollMs: number;
}

/** Polls storage, pushes new versions to peers and answers their fetches. */
export class ConfigDistributor implements ConfigPeerService {
  /** Last version that each peer pushed, by host, of the peers from which a fetch is running. */
  private readonly announcedVersions = new Map<string, number>();
  private readonly peerFetcher: ConfigPeerFetcher;
  private lastPushedVersion = 0;

  /** @param context - follower, fleet and clock */
  constructor(private readonly context: DistributorContext) {
    this.peerFetcher = new ConfigPeerFetcher(context);
  }

  /**
   * Polls storage, or peers while storage is unavailable, until the signal is
   * aborted. A daemon without any version polls at the short period.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, follower, pollMs, view} = this.context;
    let nextPollAtMs = clock.now();
    while (!signal.aborted) {
      const isStarting = follower.getState().version === 0;
      if (isStarting || isZonePoller(view) || clock.now() >= nextPollAtMs) {
        await this.pollOnce();
        nextPollAtMs = clock.now() + this.computeSlowPollPeriodMs();
      }
      await clock.sleep(pollMs, signal);
    }
  }

  /**
   * Polls storage once and fetches from peers when storage does not answer. A
   * zone poller then distributes a new version.
   */
  async pollOnce(): Promise<void> {
    const {follower, view} = this.context;
    const previousVersion = follower.getState().version;
    const isAnswered = await follower.poll();
    if (!isAnswered) await this.peerFetcher.fetchNewest();
    if (follower.getState().version === previousVersion || !isZonePoller(view))
      return;
    this.pushToOwnZone();
    if (isAnswered) this.notifyOtherZones();
  }

  /**
   * Puts a change in force that was committed through this host, and
   * distributes the new version.
   */
  applyCommit(environment: string, committed: CommitResult): void {
    if (environment !== this.context.environment) return;
    const changes = committed.change ? [committed.change] : [];
    if (!this.context.follower.update(committed.state, changes)) return;
    this.pushToOwnZone();
    this.notifyOtherZones();
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
    if (isUpdated) this.forwardWithinZone(push.relay, isZonePoller(view));
    else void this.fetchAnnounced(caller, push.version, push.relay);
    return {version};
  }

  /** {@inheritDoc ConfigPeerService.handleFetch} */
  handleFetch(fetch: ConfigFetch): ConfigFetchAnswer {
    const {environment, follower} = this.context;
    if (fetch.environment !== environment) return {version: 0, changes: []};
    const state = follower.getState();
    const stalenessMs = follower.getStalenessMs();
    const answer = {
      version: state.version,
      changes: follower.listChanges(fetch.afterVersion) ?? [],
      ...(stalenessMs !== undefined && {ageMs: Math.ceil(stalenessMs)}),
    };
    if (!fetch.whole || state.version === 0) return answer;
    return {...answer, changes: [], snapshot: createSnapshot(state)};
  }

  /**
   * Fetches a version from the peer that pushed the version. Only one fetch
   * from a peer runs at a time; a version that the peer pushes meanwhile is
   * fetched next.
   */
  private async fetchAnnounced(
    peer: PeerInfo,
    version: number,
    isRelay: boolean,
  ): Promise<void> {
    const {follower, view} = this.context;
    const isFetching = this.announcedVersions.has(peer.host);
    this.announcedVersions.set(peer.host, version);
    if (isFetching) return;
    const previousVersion = follower.getState().version;
    let requestedVersion = 0;
    while (requestedVersion < (this.announcedVersions.get(peer.host) ?? 0)) {
      requestedVersion = this.announcedVersions.get(peer.host) ?? 0;
      if (requestedVersion > follower.getState().version)
        await this.peerFetcher.fetchNewer(peer);
    }
    this.announcedVersions.delete(peer.host);
    if (follower.getState().version === previousVersion) return;
    this.forwardWithinZone(isRelay, isZonePoller(view));
  }

  /**
   * Pushes the version in force to the zone when this host is a zone poller, or
   * to the targets of this host when the version was pushed to it as a relay.
   */
  private forwardWithinZone(isRelay: boolean, isPoller: boolean): void {
    const {follower, view} = this.context;
    const {version} = follower.getState();
    if (isPoller) this.pushToOwnZone();
    else if (isRelay)
      this.pushNewChanges(listRelayTargets(view, version), false);
    this.lastPushedVersion = version;
  }

  /**
   * Pushes new changes to the relays of the zone, and to the targets of this
   * host when this host is a relay itself.
   */
  private pushToOwnZone(): void {
    const {follower, view} = this.context;
    const {version} = follower.getState();
    this.pushNewChanges(listRelays(view, version), true);
    this.pushNewChanges(listRelayTargets(view, version), false);
    this.lastPushedVersion = version;
  }

  /**
   * Pushes the version without its changes to one poller of each other zone; a
   * poller that lacks the version fetches it.
   */
  private notifyOtherZones(): void {
    this.pushToPeers(listCounterpartPollers(this.context.view), [], false);
  }

  private pushNewChanges(peers: readonly PeerInfo[], relay: boolean): void {
    this.pushToPeers(peers, this.listUnpushedChanges(), relay);
  }

  private pushToPeers(
    peers: readonly PeerInfo[],
    changes: EnvironmentChange[],
    relay: boolean,
  ): void {
    const {environment, follower} = this.context;
    const {version, digest} = follower.getState();
    const push = {environment, version, digest, changes, relay};
    for (const peer of peers) void this.pushToPeer(peer, push);
  }

  private async pushToPeer(peer: PeerInfo, push: ConfigPush): Promise<void> {
    await this.context.peers.request(peer, 'config.push', (client, signal) =>
      client.config.push.mutate(push, {signal}),
    );
  }

  /**
   * Lists the newest changes since the last push. A peer that lacks older
   * changes fetches them.
   */
  private listUnpushedChanges(): EnvironmentChange[] {
    const changes = this.context.follower.listChanges(this.lastPushedVersion);
    return changes?.slice(-MAX_CHANGES_PER_PUSH) ?? [];
  }

  private computeSlowPollPeriodMs(): number {
    const jitter = 1 + SLOW_POLL_JITTER_FRACTION * (2 * this.getRandom() - 1);
    return this.context.pollMs * SLOW_POLL_PERIOD_FACTOR * jitter;
  }

  private getRandom(): number {
    return (this.context.random ?? Math.random)();
  }
}
