/**
 * The giving side of delegation leases: which slots this daemon delegates, and
 * under which views of its zone.
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

/** What a giver needs. */
export interface DelegationGiverOptions {
  clock: Clock;
  /** Gets the term of a delegation, milliseconds. */
  getTermMs: () => number;
  /** Counts the slots that this daemon may delegate now. */
  countSlots: () => number;
  /** Tells whether no daemon ever held the slots. */
  areSlotsFresh: () => boolean;
  /** Lists the hosts of the zone that this daemon sees alive. */
  listMembers: () => string[];
}

/** One view and the time until which delegations under it may be in use. */
interface GivenView {
  view: number;
  hosts: string[];
  lapsesAtMs: number;
}

/** The run of a daemon that slots were last delegated to. */
interface Receiver {
  incarnation: string;
  lapsesAtMs: number;
  /** Whether no earlier run of the daemon was delegated to. */
  isFirstRun: boolean;
  /** Number of the newest heartbeat that was answered with slots. */
  lastSequence: number;
  /** Newest view when it was answered. */
  lastView: number;
  /** Whether it said that it no longer uses the slots. */
  isReleased: boolean;
}

/**
 * Answers heartbeats. A change of view does not move a key before every
 * delegation under the older views has lapsed: an answer names all views that
 * may still be in use, and the slots count only for a daemon that owns the key
 * in each of them.
 */
export class DelegationGrantor {
  private views: GivenView[] = [];
  private readonly receivers = new Map<string, Receiver>();
  private readonly released: ReleasedTokens;
  private readonly rankings = new RankingCache();
  private lastView = 0;
  private hadOlderView = false;

  /**
   * @param options - clock, term, slots and members
   */
  constructor(private readonly options: DelegationGiverOptions) {
    this.released = new ReleasedTokens(options.clock);
  }

  /**
   * Delegates the slots for one term.
   *
   * @param asker - the daemon that asks
   * @param request - its heartbeat
   */
  answerHeartbeat(asker: PeerInfo, request: HeartbeatRequest): HeartbeatAnswer {
    const {clock, getTermMs, countSlots, areSlotsFresh} = this.options;
    const nowMs = clock.now();
    const termMs = getTermMs();
    const current = this.updateViews(nowMs);
    const receiver = this.updateReceiver(asker, nowMs);
    const isOpen = receiver !== undefined && !receiver.isReleased;
    const slots = isOpen ? countSlots() : 0;
    if (receiver !== undefined && slots > 0) {
      receiver.lastSequence = Math.max(receiver.lastSequence, request.sequence);
      receiver.lastView = this.lastView;
      current.lapsesAtMs = Math.max(current.lapsesAtMs, nowMs + termMs);
      receiver.lapsesAtMs = Math.max(receiver.lapsesAtMs, nowMs + termMs);
    }
    const isFirst = !this.hadOlderView && receiver?.isFirstRun === true;
    return {
      sequence: request.sequence,
      termMs,
      slots,
      fresh: isFirst && areSlotsFresh(),
      views: this.views.map((given) => given.view),
      members: this.listMembersAfter(request.knownView),
      ...this.takeReleased(asker, slots),
    };
  }

  /**
   * Ends the delegations to a daemon that no longer uses them. Its keys move
   * at once to the daemons that own them next.
   *
   * @param asker - the leaving daemon, which is no longer a member
   * @param request - the newest answer that it applied, and its tokens
   */
  releaseReceiver(asker: PeerInfo, request: ReleaseRequest): void {
    const receiver = this.receivers.get(asker.host);
    if (receiver?.incarnation !== asker.incarnation) return;
    if (receiver.isReleased) return;
    const nowMs = this.options.clock.now();
    const current = this.updateViews(nowMs);
    if (current.hosts.includes(asker.host)) return;
    if (receiver.lastSequence === request.sequence) {
      const kept = request.tokens.filter(({key}) =>
        this.isLastOwner(key, asker.host, receiver.lastView, nowMs),
      );
      const untilMs = nowMs + this.options.getTermMs();
      this.released.add(kept, this.options.countSlots(), untilMs);
    }
    receiver.isReleased = true;
    receiver.lapsesAtMs = 0;
    this.hadOlderView = true;
    this.dropFromViews(asker.host, current);
  }

  /** Gets when the last delegation lapses, monotonic milliseconds. */
  getLastLapseMs(): number {
    return Math.max(0, ...this.views.map((given) => given.lapsesAtMs));
  }

  /**
   * Tells whether nobody but a daemon can have used a key since its newest
   * answer: a view in which it owns the key has been in use ever since.
   */
  private isLastOwner(
    key: string,
    host: string,
    lastView: number,
    nowMs: number,
  ): boolean {
    return this.views.some(
      ({view, hosts, lapsesAtMs}) =>
        view <= lastView &&
        lapsesAtMs > nowMs &&
        this.rankings.getRanking(key, hosts)[0] === host,
    );
  }

  /** Without the daemon each of its keys belongs to the next in rank. */
  private dropFromViews(host: string, current: GivenView): void {
    const views: GivenView[] = [];
    for (const given of this.views) {
      if (given === current) continue;
      if (!given.hosts.includes(host)) {
        views.push(given);
        continue;
      }
      const hosts = given.hosts.filter((member) => member !== host);
      if (hosts.length === 0) continue;
      if (hosts.join() === current.hosts.join()) {
        current.lapsesAtMs = Math.max(current.lapsesAtMs, given.lapsesAtMs);
        continue;
      }
      this.lastView += 1;
      views.push({view: this.lastView, hosts, lapsesAtMs: given.lapsesAtMs});
    }
    this.views = [...views, current];
  }

  /** Tokens go with the first answer by which their key gets an owner again. */
  private takeReleased(
    asker: PeerInfo,
    slots: number,
  ): Pick<HeartbeatAnswer, 'tokens'> {
    if (this.released.isEmpty() || slots === 0) return {};
    const tokens: KeyTokens[] = this.released.take(slots, (key) =>
      this.views.every(
        ({hosts}) => this.rankings.getRanking(key, hosts)[0] === asker.host,
      ),
    );
    return tokens.length > 0 ? {tokens} : {};
  }

  /** A new run is delegated to only after the leases of the old run. */
  private updateReceiver(asker: PeerInfo, nowMs: number): Receiver | undefined {
    const known = this.receivers.get(asker.host);
    if (known?.incarnation === asker.incarnation) return known;
    if (known !== undefined && known.lapsesAtMs > nowMs) return undefined;
    const receiver = {
      incarnation: asker.incarnation,
      lapsesAtMs: 0,
      isFirstRun: known === undefined,
      lastSequence: 0,
      lastView: 0,
      isReleased: false,
    };
    this.receivers.set(asker.host, receiver);
    return receiver;
  }

  private updateViews(nowMs: number): GivenView {
    const hosts = this.options.listMembers();
    let current = this.views.at(-1);
    if (current === undefined || current.hosts.join() !== hosts.join()) {
      if (current !== undefined && current.lapsesAtMs > 0) {
        this.hadOlderView = true;
      }
      this.lastView += 1;
      current = {view: this.lastView, hosts, lapsesAtMs: 0};
      this.views.push(current);
    }
    this.views = this.views.filter(
      (given) => given === current || given.lapsesAtMs > nowMs,
    );
    return current;
  }

  private listMembersAfter(knownView: number): ViewMembers[] {
    return this.views
      .filter((given) => given.view > knownView)
      .map(({view, hosts}) => ({view, hosts}));
  }
}
