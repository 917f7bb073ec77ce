/** Sends releases to owners: one task for each owner, while there are any. */
import type {Clock} from '@savoryspur/common';
import type {PeerInfo, SlotRelease} from '@savoryspur/schema';
import type {RoutingPeers} from './routing_peers.js';

/** Releases in one message. */
const MAX_RELEASES = 256;

/** Time between two tries, milliseconds. */
const RETRY_MS = 200;

/** Tries of one message; reconciliation repairs what is lost after them. */
const MAX_TRIES = 5;

/** Sends releases to owners. */
export class ReleaseSender {
  private readonly queues = new Map<string, SlotRelease[]>();

  /**
   * @param peers - calls owners
   * @param clock - source of time
   */
  constructor(
    private readonly peers: RoutingPeers,
    private readonly clock: Clock,
  ) {}

  /** Sends a release; never waits. */
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

  /** Waits until nothing is left to send. */
  async drain(): Promise<void> {
    while (this.queues.size > 0) await this.clock.sleep(RETRY_MS);
  }

  private async run(key: string, owner: PeerInfo): Promise<void> {
    const queue = this.queues.get(key) ?? [];
    await Promise.resolve();
    while (queue.length > 0) {
      await this.send(owner, queue.splice(0, MAX_RELEASES));
    }
    this.queues.delete(key);
  }

  private async send(owner: PeerInfo, releases: SlotRelease[]): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const result = await this.peers.release(owner, {releases});
      if (result.isOk()) return;
      await this.clock.sleep(RETRY_MS);
    }
  }
}
