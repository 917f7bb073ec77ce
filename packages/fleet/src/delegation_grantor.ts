/**
 * Grants delegation leases: this daemon lets the owner of each key use its
 * quota slots for the key.
 */
import type {Clock} from '@savoryspur/common';
import type {
  HeartbeatAnswer,
  HeartbeatRequest,
  KeyTokens,
  PeerInfo,
  ReleaseRequest,
  ViewMembers,
} from '@savoryspur/schema';
import {RankingCache} from './ranking_cache.js';
import {ReleasedTokens} from './released_tokens.js';

/** Dependencies and settings of {@link DelegationGrantor}. */
export interface DelegationGrantorOptions {
  clock: Clock;
  /** Gets the term of a delegation, milliseconds. */
  getTermMs: () => number;
  /** Counts the quota slots that this daemon may delegate now. */
  countUsableSlots: () => number;
  /** Tells whether no other daemon has ever held the usable quota slots. */
  areSlotsFresh: () => boolean;
  /** Lists the hosts of the zone that this daemon considers alive. */
  listMembers: () => string[];
}

/** Membership view under which delegations were granted. */
interface GrantedView {
  view: number;
  hosts: string[];
  /** When the last delegation under the view expires. */
  expiresAtMs: number;
}

/** Incarnation of a daemon to which quota slots were last delegated. */
interface HolderRecord {
  incarnation: string;
  /** When the last delegation to the daemon expires. */
  expiresAtMs: number;
  /** Whether nothing was delegated to an earlier incarnation of the daemon. */
  isFirstIncarnation: boolean;
  /** Number of the newest heartbeat that was answered with quota slots. */
  lastSequence: number;
  /** Newest view when that heartbeat was answered. */
  lastView: number;
  /** Whether the daemon has released the quota slots. */
  isReleased: boolean;
}

/**
 * Answers heartbeats with delegations. After a change of the membership view, a
 * key moves to its next owner only when every delegation under the older views
 * has expired: an answer lists all views that may still be in use, and a daemon
 * may use the quota slots only for the keys that it owns in each of them.
 */
export class DelegationGrantor {
  private views: GrantedView[] = [];
  private readonly holders = new Map<string, HolderRecord>();
  private readonly releasedTokens: ReleasedTokens;
  private readonly rankings = new RankingCache();
  private lastView = 0;
  private hadEarlierView = false;

  /**
   * @param options - clock, term, quota slots and members
   */
  constructor(private readonly options: DelegationGrantorOptions) {
    this.releasedTokens = new ReleasedTokens(options.clock);
  }

  /**
   * Delegates the quota slots to a daemon for one term.
   *
   * @param requester - daemon that sent the heartbeat
   * @param request - the heartbeat
   */
  answerHeartbeat(
    requester: PeerInfo,
    request: HeartbeatRequest,
  ): HeartbeatAnswer {
    const {clock, getTermMs, countUsableSlots, areSlotsFresh} = this.options;
    const nowMs = clock.now();
    const termMs = getTermMs();
    const current = this.updateViews(nowMs);
    const holder = this.updateHolder(requester, nowMs);
    const isHolding = holder !== undefined && !holder.isReleased;
    const slots = isHolding ? countUsableSlots() : 0;
    if (holder !== undefined && slots > 0) {
      holder.lastSequence = Math.max(holder.lastSequence, request.sequence);
      holder.lastView = this.lastView;
      current.expiresAtMs = Math.max(current.expiresAtMs, nowMs + termMs);
      holder.expiresAtMs = Math.max(holder.expiresAtMs, nowMs + termMs);
    }
    const isFirstDelegation =
      !this.hadEarlierView && holder?.isFirstIncarnation === true;
    return {
      sequence: request.sequence,
      termMs,
      slots,
      fresh: isFirstDelegation && areSlotsFresh(),
      views: this.views.map((granted) => granted.view),
      members: this.listViewsAfter(request.knownView),
      ...this.takeReleasedTokens(requester, slots),
    };
  }

  /**
   * Ends the delegations to a stopping daemon before they expire, so that its
   * keys move to their next owners at once.
   *
   * @param requester - the stopping daemon, which is no longer a member
   * @param request - number of the newest answer that it applied, and its
   *     unused tokens
   */
  endDelegations(requester: PeerInfo, request: ReleaseRequest): void {
    const holder = this.holders.get(requester.host);
    if (holder?.incarnation !== requester.incarnation) return;
    if (holder.isReleased) return;
    const nowMs = this.options.clock.now();
    const current = this.updateViews(nowMs);
    if (current.hosts.includes(requester.host)) return;
    if (holder.lastSequence === request.sequence) {
      const validTokens = request.tokens.filter(({key}) =>
        this.isExclusiveOwner(key, requester.host, holder.lastView, nowMs),
      );
      const expiresAtMs = nowMs + this.options.getTermMs();
      this.releasedTokens.add(
        validTokens,
        this.options.countUsableSlots(),
        expiresAtMs,
      );
    }
    holder.isReleased = true;
    holder.expiresAtMs = 0;
    this.hadEarlierView = true;
    this.removeFromViews(requester.host, current);
  }

  /** Gets when the last delegation expires, monotonic milliseconds. */
  getLastExpiryMs(): number {
    return Math.max(0, ...this.views.map((granted) => granted.expiresAtMs));
  }

  /**
   * Tells whether only the given daemon can have used a key since its newest
   * answer, because a view in which it owns the key has been in use since then.
   */
  private isExclusiveOwner(
    key: string,
    host: string,
    lastView: number,
    nowMs: number,
  ): boolean {
    return this.views.some(
      ({view, hosts, expiresAtMs}) =>
        view <= lastView &&
        expiresAtMs > nowMs &&
        this.rankings.getRanking(key, hosts)[0] === host,
    );
  }

  /**
   * Replaces the older views that contain a daemon by views without it, so that
   * each of its keys belongs to the daemon that ranks next.
   */
  private removeFromViews(host: string, current: GrantedView): void {
    const views: GrantedView[] = [];
    for (const granted of this.views) {
      if (granted === current) continue;
      if (!granted.hosts.includes(host)) {
        views.push(granted);
        continue;
      }
      const hosts = granted.hosts.filter((member) => member !== host);
      if (hosts.length === 0) continue;
      if (hosts.join() === current.hosts.join()) {
        current.expiresAtMs = Math.max(
          current.expiresAtMs,
          granted.expiresAtMs,
        );
        continue;
      }
      this.lastView += 1;
      views.push({
        view: this.lastView,
        hosts,
        expiresAtMs: granted.expiresAtMs,
      });
    }
    this.views = [...views, current];
  }

  /**
   * Takes the released tokens of the keys that a daemon now owns in all views.
   * They are sent with the first answer that delegates the keys again.
   */
  private takeReleasedTokens(
    requester: PeerInfo,
    slots: number,
  ): Pick<HeartbeatAnswer, 'tokens'> {
    if (this.releasedTokens.isEmpty() || slots === 0) return {};
    const tokens: KeyTokens[] = this.releasedTokens.takeOwned(slots, (key) =>
      this.views.every(
        ({hosts}) => this.rankings.getRanking(key, hosts)[0] === requester.host,
      ),
    );
    return tokens.length > 0 ? {tokens} : {};
  }

  /**
   * Finds or replaces the record of a daemon. A new incarnation gets no
   * delegation before those to the previous one have expired.
   *
   * @returns undefined while delegations to a previous incarnation are valid
   */
  private updateHolder(
    requester: PeerInfo,
    nowMs: number,
  ): HolderRecord | undefined {
    const known = this.holders.get(requester.host);
    if (known?.incarnation === requester.incarnation) return known;
    if (known !== undefined && known.expiresAtMs > nowMs) return undefined;
    const holder = {
      incarnation: requester.incarnation,
      expiresAtMs: 0,
      isFirstIncarnation: known === undefined,
      lastSequence: 0,
      lastView: 0,
      isReleased: false,
    };
    this.holders.set(requester.host, holder);
    return holder;
  }

  private updateViews(nowMs: number): GrantedView {
    const hosts = this.options.listMembers();
    let current = this.views.at(-1);
    if (current === undefined || current.hosts.join() !== hosts.join()) {
      if (current !== undefined && current.expiresAtMs > 0) {
        this.hadEarlierView = true;
      }
      this.lastView += 1;
      current = {view: this.lastView, hosts, expiresAtMs: 0};
      this.views.push(current);
    }
    this.views = this.views.filter(
      (granted) => granted === current || granted.expiresAtMs > nowMs,
    );
    return current;
  }

  private listViewsAfter(knownView: number): ViewMembers[] {
    return this.views
      .filter((granted) => granted.view > knownView)
      .map(({view, hosts}) => ({view, hosts}));
  }
}
