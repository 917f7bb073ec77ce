/** Asks other daemons for newer versions. */
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
  isReader,
  listZonePartners,
  listZoneReaders,
} from './distribution_plan.js';
import {convertSnapshot} from './environment_state.js';

/** Neighbors that a starting host asks beside the readers. */
const STARTING_NEIGHBORS = 2;

/** What the reader needs. */
export interface PeerReaderContext {
  /** Environment that this host serves. */
  environment: string;
  follower: ConfigFollower;
  view: MembershipView;
  peers: PeerCaller<ConfigPeerClient>;
  clock: Clock;
  /** Number from 0 to 1 for choices; random when absent. */
  random?: () => number;
}

/** Brings this host to the newest version that its peers have. */
export class ConfigPeerReader {
  /** @param context - follower, fleet and clock */
  constructor(private readonly context: PeerReaderContext) {}

  /** Takes changes of a peer, else the platform's state, else the peer's. */
  async fetchNewer(peer: PeerInfo): Promise<void> {
    const {follower} = this.context;
    const version = await this.fetchChanges(peer);
    if (version <= follower.getState().version) return;
    await follower.poll();
    if (version <= follower.getState().version) return;
    await this.fetchWhole(peer);
  }

  /** Asks peers for the newest version while the platform is away. */
  async fetchNewest(): Promise<void> {
    const {follower} = this.context;
    const sources = this.chooseSources();
    const answers = await Promise.all(
      sources.map(async (peer) => ({
        peer,
        version: await this.fetchChanges(peer),
      })),
    );
    answers.sort((a, b) => b.version - a.version);
    for (const {peer, version} of answers) {
      if (version <= follower.getState().version) return;
      await this.fetchWhole(peer);
    }
  }

  /**
   * A host without any version asks all zones; later a reader asks one other
   * zone at a time, and any other host asks a reader of its zone.
   */
  private chooseSources(): PeerInfo[] {
    const {follower, view} = this.context;
    const partners = listZonePartners(view);
    const readers = listZoneReaders(view);
    if (follower.getState().version === 0) {
      const self = view.self;
      const neighbors = view
        .listAlive(self.zone)
        .filter((peer) => peer.host !== self.host)
        .slice(0, STARTING_NEIGHBORS);
      return [...new Set([...readers, ...neighbors, ...partners])];
    }
    const candidates =
      isReader(view) && partners.length > 0 ? partners : readers;
    const index = Math.floor(
      (this.context.random ?? Math.random)() * candidates.length,
    );
    return candidates.slice(index, index + 1);
  }

  /**
   * Asks a peer for changes.
   *
   * @returns the version of the peer; 0 when it did not answer
   */
  private async fetchChanges(peer: PeerInfo): Promise<number> {
    const {clock, follower} = this.context;
    const startMs = clock.now();
    const answer = await this.fetch(peer, false);
    if (!answer) return 0;
    follower.updateWithChanges(answer.changes);
    this.markConfirmed(answer, startMs);
    return answer.version;
  }

  private async fetchWhole(peer: PeerInfo): Promise<void> {
    const {clock, follower} = this.context;
    const startMs = clock.now();
    const answer = await this.fetch(peer, true);
    const state = answer?.snapshot && convertSnapshot(answer.snapshot);
    if (!state) return;
    follower.update(state);
    this.markConfirmed(answer, startMs);
  }

  /** The peer knew its version to be the newest at some time after this. */
  private markConfirmed(answer: ConfigFetchAnswer, startMs: number): void {
    if (answer.ageMs === undefined) return;
    const {follower} = this.context;
    follower.markConfirmed(answer.version, startMs - answer.ageMs);
  }

  private async fetch(
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
