/**
 * Contacts of a pool owner with the daemons that use its slots. Performs no I/O;
 * times are monotonic milliseconds.
 */
import type {RelayedHolder} from '@savoryspur/schema';
import {
  computeDelegationTtlMs,
  STANDALONE_SHARE_FACTOR,
} from '../peers/fleet_share.js';
import {COLD_SERVER_WINDOW_MS} from './cold_server_limiter.js';

/** Minimum time without a synchronization after which a holder expires and its slots become free, milliseconds. */
const EXPIRY_MS = 1500;

/** Number of synchronization periods after which a holder expires, when that is longer than {@link EXPIRY_MS}. */
const EXPIRY_PERIODS = 3;

/** Time in which a holder of an unreachable zone has to synchronize after its long poll was ended, milliseconds: many times the round trip, and more than a busy daemon takes for one call. */
const CHECK_TIMEOUT_MS = 300;

/** Time between two checks of a holder whose zone stays unreachable, milliseconds. */
const CHECK_PERIOD_MS = 1000;

/** Synchronizations of a holder. */
interface HolderContact {
  zone: string | undefined;
  /** Time since which the holder has delegated its share without interruption. */
  sinceMs: number;
  /** Arrival of the latest synchronization. */
  arrivedMs: number;
  /** Arrival or end of the latest synchronization. */
  lastMs: number;
  /** Longest synchronization period that the holder has announced, milliseconds. */
  periodMs: number;
  /** Time of the latest check whether the holder still synchronizes. */
  checkedMs: number;
}

/** Holders that have not expired. */
export class HolderContacts {
  private readonly contacts = new Map<string, HolderContact>();

  /** Whether there are no holders. */
  isEmpty(): boolean {
    return this.contacts.size === 0;
  }

  /** Drops all holders. */
  clear(): void {
    this.contacts.clear();
  }

  /**
   * Records a synchronization, or that the former owner knew the holder.
   *
   * @param holder - the daemon; its zone may be unknown
   * @param waitMs - synchronization period that it has announced, milliseconds
   * @param nowMs - current time
   */
  recordArrival(
    {host, zone}: Partial<RelayedHolder> & {host: string},
    waitMs: number,
    nowMs: number,
  ): void {
    const known = this.contacts.get(host);
    this.contacts.set(host, {
      zone: zone ?? known?.zone,
      sinceMs: known && isDelegating(known, nowMs) ? known.sinceMs : nowMs,
      arrivedMs: nowMs,
      lastMs: nowMs,
      periodMs: Math.max(waitMs, known?.periodMs ?? 0),
      checkedMs: known?.checkedMs ?? Number.NEGATIVE_INFINITY,
    });
  }

  /** Records that the long poll of a holder has ended, after which it synchronizes again. */
  recordPollEnd(host: string, nowMs: number): void {
    const known = this.contacts.get(host);
    if (known) known.lastMs = nowMs;
  }

  /**
   * Begins to check the holders of zones that this daemon does not reach. They
   * synchronize for each long poll that ends, so a silent one is found long
   * before the poll would have ended.
   *
   * @param zones - zones whose servers do not respond
   * @param nowMs - current time
   * @returns hosts whose long polls have to be ended
   */
  checkZones(zones: readonly string[], nowMs: number): string[] {
    if (zones.length === 0) return [];
    const checked: string[] = [];
    for (const [host, contact] of this.contacts) {
      if (contact.zone === undefined || !zones.includes(contact.zone)) continue;
      if (nowMs - contact.checkedMs < CHECK_PERIOD_MS) continue;
      contact.checkedMs = nowMs;
      checked.push(host);
    }
    return checked;
  }

  /**
   * Removes the holders that have expired.
   *
   * @param isPolling - whether the long poll of a holder is in progress
   * @param nowMs - current time
   * @returns their hosts
   */
  takeExpired(isPolling: (host: string) => boolean, nowMs: number): string[] {
    const expired: string[] = [];
    for (const [host, contact] of this.contacts) {
      const isOverdue = isCheckOverdue(contact, nowMs);
      if (!isOverdue && (isRecent(contact, nowMs) || isPolling(host))) continue;
      this.contacts.delete(host);
      expired.push(host);
    }
    return expired;
  }

  /** Computes the shares of the warm-up rate limit that the holders have delegated, in shares of one daemon. */
  computeDelegatedShares(nowMs: number): number {
    let shares = 0;
    for (const contact of this.contacts.values()) {
      if (!isDelegating(contact, nowMs)) continue;
      const takeoverMs = computeTakeoverMs(contact.periodMs);
      shares +=
        nowMs - contact.sinceMs < takeoverMs ? STANDALONE_SHARE_FACTOR : 1;
    }
    return shares;
  }
}

/** Whether a holder has not synchronized since it was checked, for too long. */
function isCheckOverdue(
  {arrivedMs, checkedMs}: HolderContact,
  nowMs: number,
): boolean {
  return arrivedMs < checkedMs && nowMs - checkedMs > CHECK_TIMEOUT_MS;
}

function isRecent({lastMs, periodMs}: HolderContact, nowMs: number): boolean {
  return nowMs - lastMs <= Math.max(EXPIRY_MS, periodMs * EXPIRY_PERIODS);
}

/** Whether the share of a holder is still delegated to the owner. */
function isDelegating(
  {lastMs, periodMs}: HolderContact,
  nowMs: number,
): boolean {
  return nowMs - lastMs < computeDelegationTtlMs(periodMs);
}

/**
 * Computes the time after a holder's first synchronization in which the owner
 * uses only the standalone part of the holder's share of the warm-up rate limit.
 * The former owner may use the share until its delegation expires, and the
 * requests that it has sent until then count for one window more.
 *
 * @param periodMs - synchronization period of the holder, milliseconds
 * @returns milliseconds
 */
function computeTakeoverMs(periodMs: number): number {
  return computeDelegationTtlMs(periodMs) + COLD_SERVER_WINDOW_MS;
}
