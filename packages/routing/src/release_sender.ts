/** Sends releases to owners in the background, one queue for each owner. */
import type {Clock} from '@savoryspur/common';
import type {PeerInfo, SlotRelease} from '@savoryspur/schema';
import type {RoutingPeers} from './routing_peers.js';

/** Maximum number of releases in one message. */
const MAX_RELEASES_PER_MESSAGE = 256;

/** Delay between two attempts to send a message, milliseconds. */
const RETRY_DELAY_MS = 200;

/**
 * Attempts to send one message. If all fail, reconciliation at the owner frees
 * the slots.
 */
const MAX_ATTEMPTS = 5;

/** Queues releases and sends them to owners. */
export class ReleaseSender {
  private readonly queues = new Map<string, SlotRelease[]>();

  /**
   * @param peers - calls other daemons
   * @param clock - source of time
   */
  constructor(
    private readonly peers: RoutingPeers,
    private readonly clock: Clock,
  ) {}

  /** Queues a release for sending and returns at once. */
  push(owner: PeerInfo, release: SlotRelease): void {
    const key = `${owner.host} ${owner.incarnation}`;
    const queue = this.queues.get(key);
    if (queue) {
      queue.push(release);
      return;
    }
    this.queues.set(key, [release]);
    void this.run(key, owner);
  }

  /** Waits until all queued releases are sent or given up. */
  async waitUntilSent(): Promise<void> {
    while (this.queues.size > 0) await this.clock.sleep(RETRY_DELAY_MS);
  }

  private async run(key: string, owner: PeerInfo): Promise<void> {
    const queue = this.queues.get(key) ?? [];
    await Promise.resolve();
    while (queue.length > 0) {
      await this.sendWithRetries(
        owner,
        queue.splice(0, MAX_RELEASES_PER_MESSAGE),
      );
    }
    this.queues.delete(key);
  }

  private async sendWithRetries(
    owner: PeerInfo,
    releases: SlotRelease[],
  ): Promise<void> {
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
      const result = await this.peers.release(owner, {releases});
      if (result.isOk()) return;
      await this.clock.sleep(RETRY_DELAY_MS);
    }
  }
}
