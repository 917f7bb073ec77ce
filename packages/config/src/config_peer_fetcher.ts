/** Fetches newer versions of the configuration from other daemons. */
import type {Clock} from '@savoryspur/common';
import type {MembershipView, PeerCaller} from '@savoryspur/fleet';
import {
  type ConfigFetchAnswer,
  type PeerInfo,
  validateConfigFetchAnswer,
} from '@savoryspur/schema';
import type {ConfigFollower} from './config_follower.js';
import type {ConfigPeerClient} from './config_router.js';
import {
  isZonePoller,
  listCounterpartPollers,
  listPollersOfOwnZone,
} from './distribution_plan.js';
import {convertSnapshot} from './environment_state.js';

/** Maximum number of other daemons of its zone that a host without any version asks. */
const MAX_STARTUP_NEIGHBORS = 2;

/** Dependencies of the fetcher. */
export interface PeerFetcherContext {
  /** Environment that this host serves. */
  environment: string;
  follower: ConfigFollower;
  view: MembershipView;
  peers: PeerCaller<ConfigPeerClient>;
  clock: Clock;
  /** Source of random numbers from 0 to 1; `Math.random` when absent. */
  random?: () => number;
}

/** Updates this host to the newest version that its peers have. */
export class ConfigPeerFetcher {
  /** @param context - follower, fleet and clock */
  constructor(private readonly context: PeerFetcherContext) {}

  /**
   * Updates this host to the version of a peer. Fetches the changes of the
   * peer; when they do not suffice, reads storage; when storage does not have
   * the version either, fetches the snapshot of the peer.
   */
  async fetchNewer(peer: PeerInfo): Promise<void> {
    const {follower} = this.context;
    const version = await this.fetchChanges(peer);
    if (version <= follower.getState().version) return;
    await follower.poll();
    if (version <= follower.getState().version) return;
    await this.fetchSnapshot(peer);
  }

  /** Fetches the newest version from peers while storage is unavailable. */
  async fetchNewest(): Promise<void> {
    const {follower} = this.context;
    const peers = this.choosePeers();
    const answers = await Promise.all(
      peers.map(async (peer) => ({
        peer,
        version: await this.fetchChanges(peer),
      })),
    );
    answers.sort((a, b) => b.version - a.version);
    for (const {peer, version} of answers) {
      if (version <= follower.getState().version) return;
      await this.fetchSnapshot(peer);
    }
  }

  /**
   * Chooses the peers to ask. A host without any version asks the pollers and
   * some other daemons of its zone and one poller of each other zone. Otherwise
   * a zone poller asks the poller of one random other zone, and any other
   * host asks a random poller of its own zone.
   */
  private choosePeers(): PeerInfo[] {
    const {follower, view} = this.context;
    const counterparts = listCounterpartPollers(view);
    const pollers = listPollersOfOwnZone(view);
    if (follower.getState().version === 0) {
      const self = view.self;
      const neighbors = view
        .listAlive(self.zone)
        .filter((peer) => peer.host !== self.host)
        .slice(0, MAX_STARTUP_NEIGHBORS);
      return [...new Set([...pollers, ...neighbors, ...counterparts])];
    }
    const candidates =
      isZonePoller(view) && counterparts.length > 0 ? counterparts : pollers;
    const index = Math.floor(
      (this.context.random ?? Math.random)() * candidates.length,
    );
    return candidates.slice(index, index + 1);
  }

  /**
   * Fetches changes from a peer and puts them in force.
   *
   * @returns the version of the peer; 0 when the peer did not answer
   */
  private async fetchChanges(peer: PeerInfo): Promise<number> {
    const {clock, follower} = this.context;
    const startMs = clock.now();
    const answer = await this.requestConfig(peer, false);
    if (!answer) return 0;
    follower.updateWithChanges(answer.changes);
    this.markConfirmed(answer, startMs);
    return answer.version;
  }

  /** Fetches the complete state of a peer and puts it in force. */
  private async fetchSnapshot(peer: PeerInfo): Promise<void> {
    const {clock, follower} = this.context;
    const startMs = clock.now();
    const answer = await this.requestConfig(peer, true);
    const state = answer?.snapshot && convertSnapshot(answer.snapshot);
    if (!state) return;
    follower.update(state);
    this.markConfirmed(answer, startMs);
  }

  /**
   * Records when the version of a peer was known to be the newest. Subtracts the
   * staleness in the answer from the time before the call, so that the recorded
   * time is never too late.
   */
  private markConfirmed(answer: ConfigFetchAnswer, startMs: number): void {
    if (answer.ageMs === undefined) return;
    const {follower} = this.context;
    follower.markConfirmed(answer.version, startMs - answer.ageMs);
  }

  /**
   * Calls `config.fetch` of a peer.
   *
   * @param peer - daemon to call
   * @param whole - whether to request the complete state instead of changes
   * @returns undefined when the call failed or the answer is invalid
   */
  private async requestConfig(
    peer: PeerInfo,
    whole: boolean,
  ): Promise<ConfigFetchAnswer | undefined> {
    const {environment, follower, peers} = this.context;
    const afterVersion = follower.getState().version;
    const answer = await peers.request(peer, 'config.fetch', (client, signal) =>
      client.config.fetch.query({environment, afterVersion, whole}, {signal}),
    );
    if (answer.isErr()) return undefined;
    return validateConfigFetchAnswer(answer.value).unwrapOr(undefined);
  }
}
