/** Simple fleet-wide rate limiters that the tests compare savoryspur with. */

/** Rate limiter that admits or refuses single requests. */
export interface Baseline {
  admit(host: number, nowMs: number): boolean;
  /** Restarts the daemon of a host, which loses its tokens. */
  applyRestart(host: number): void;
}

/** Token bucket that no other host shares. */
class TokenBucket {
  private lastMs = 0;

  constructor(
    private readonly rate: number,
    private readonly burst: number,
    private level = burst,
  ) {}

  clear(): void {
    this.level = 0;
  }

  take(nowMs: number): boolean {
    const added = (this.rate * (nowMs - this.lastMs)) / 1000;
    this.level = Math.min(this.burst, this.level + added);
    this.lastMs = nowMs;
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }
}

/** Gives each host a fixed, equal share of the rate and burst. */
export class StaticSplit implements Baseline {
  private readonly buckets: TokenBucket[];

  constructor(rate: number, burst: number, hosts: number) {
    this.buckets = Array.from(
      {length: hosts},
      () => new TokenBucket(rate / hosts, burst / hosts),
    );
  }

  admit(host: number, nowMs: number): boolean {
    return this.buckets[host]!.take(nowMs);
  }

  applyRestart(host: number): void {
    this.buckets[host]!.clear();
  }
}

/** Keeps the bucket on one host; hosts that cannot reach it admit nothing. */
export class CentralOwner implements Baseline {
  private readonly bucket: TokenBucket;

  constructor(
    rate: number,
    burst: number,
    private readonly isReachable: (host: number, nowMs: number) => boolean,
  ) {
    this.bucket = new TokenBucket(rate, burst);
  }

  admit(host: number, nowMs: number): boolean {
    return this.isReachable(host, nowMs) && this.bucket.take(nowMs);
  }

  applyRestart(host: number): void {
    if (host === 0) this.bucket.clear();
  }
}

/** Ideal limiter: one bucket that every host reaches at any time. */
export class Oracle extends CentralOwner {
  constructor(rate: number, burst: number) {
    super(rate, burst, () => true);
  }

  override applyRestart(): void {
    return;
  }
}
