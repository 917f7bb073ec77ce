/** One direction of a proxied connection. */
import type net from 'node:net';
import type {FlowDirection, LinkState} from './link_state.js';

/** Buffered bytes of one direction above which its source is paused. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Bytes to forward; without bytes, the end of the source. */
interface FlowItem {
  /** Time before which the item is not forwarded, milliseconds of the clock. */
  dueMs: number;
  bytes?: Buffer;
}

/** Forwards the bytes and the end of one socket to another. */
export class ProxyFlow {
  /** Whether bytes were dropped, so that healing has to reset the connection. */
  hasLostBytes = false;
  /** Whether forwarding has stopped for good while the sockets stay open. */
  isForgotten = false;
  private readonly items: FlowItem[] = [];
  private bufferedBytes = 0;
  /** Resolves the wait for an item in `takeItem`. */
  private resolveItemWait: (() => void) | undefined;

  /**
   * @param source - socket that is read
   * @param sink - socket that is written
   * @param direction - direction on the link
   * @param link - faults that are active on the link
   */
  constructor(
    private readonly source: net.Socket,
    private readonly sink: net.Socket,
    private readonly direction: FlowDirection,
    private readonly link: LinkState,
  ) {
    source.on('data', (bytes) => this.addItem(bytes as Buffer));
    source.once('close', () => this.addItem(undefined));
    source.once('end', () => this.addItem(undefined));
  }

  /**
   * Forwards until the source ends, then ends the sink; resets the sink when the
   * source failed.
   *
   * @param countBytes - called with the number of bytes that are forwarded
   */
  async run(countBytes: (count: number) => void): Promise<void> {
    for (;;) {
      const item = await this.takeItem();
      await this.waitDue(item);
      if (this.isForgotten) return;
      if (item.bytes === undefined) break;
      if (this.link.isDropping(this.direction)) {
        this.hasLostBytes = true;
        continue;
      }
      countBytes(item.bytes.length);
      await this.send(item.bytes);
      if (this.sink.destroyed) this.source.resetAndDestroy();
    }
    if (this.source.errored !== null) this.sink.resetAndDestroy();
    else this.sink.end();
  }

  private addItem(bytes: Buffer | undefined): void {
    if (this.isForgotten) return;
    const dueMs = this.link.clock.now() + this.link.delayMs;
    this.items.push({dueMs, bytes});
    this.bufferedBytes += bytes?.length ?? 0;
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) this.source.pause();
    this.resolveItemWait?.();
  }

  private async takeItem(): Promise<FlowItem> {
    while (this.items.length === 0) {
      await new Promise<void>((resolve) => (this.resolveItemWait = resolve));
    }
    const item = this.items.shift()!;
    this.bufferedBytes -= item.bytes?.length ?? 0;
    if (this.bufferedBytes <= MAX_BUFFERED_BYTES) this.source.resume();
    return item;
  }

  private async send(bytes: Buffer): Promise<void> {
    if (this.sink.write(bytes) || this.sink.destroyed) return;
    await new Promise<void>((resolve) => {
      this.sink.once('drain', resolve);
      this.sink.once('close', resolve);
    });
  }

  private async waitDue(item: FlowItem): Promise<void> {
    const waitMs = item.dueMs - this.link.clock.now();
    if (waitMs > 0) await this.link.clock.sleep(waitMs);
    await this.link.waitWhileFrozen();
  }
}
