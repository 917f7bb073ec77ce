/** One task for each daemon of the zone that asks it for delegations. */
import {type Clock, ErrorCode} from '@savoryspur/common';
import type {HeartbeatAnswer, KeyTokens, PeerInfo} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import type {PeerCaller} from './contract.js';
import type {DelegationGrantor} from './delegation_grantor.js';
import type {DelegationHolder} from './delegation_holder.js';
import type {FleetRootRouter} from './fleet_router.js';
import type {Membership} from './membership.js';

/** What the heartbeats need. */
export interface HeartbeatOptions {
  clock: Clock;
  membership: Membership;
  giver: DelegationGrantor;
  holder: DelegationHolder;
  caller: PeerCaller<TRPCClient<FleetRootRouter>>;
  /** Takes tokens that came with newly delegated slots. */
  onTokens: (released: readonly KeyTokens[]) => void;
  /** Gets the time between two heartbeats to one peer, milliseconds. */
  getPeriodMs: () => number;
}

/** Asks the daemons of the zone, and this one, for their slots. */
export class Heartbeats {
  private readonly tasks = new Map<string, AbortController>();
  private sequence = 0;
  private isStopped = false;

  /**
   * @param options - membership, leases and timing
   */
  constructor(private readonly options: HeartbeatOptions) {}

  /**
   * Starts a task for each new daemon of the zone and ends those of daemons
   * that are no longer listed.
   *
   * @returns a promise of the first heartbeats of the new daemons
   */
  async update(): Promise<void> {
    if (this.isStopped) return;
    const peers = this.options.membership.listZonePeers();
    const listed = new Set(peers.map((peer) => peer.host));
    for (const [host, task] of this.tasks) {
      if (listed.has(host)) continue;
      task.abort();
      this.tasks.delete(host);
    }
    const first: Array<Promise<void>> = [];
    for (const peer of peers) {
      if (this.tasks.has(peer.host)) continue;
      const task = new AbortController();
      this.tasks.set(peer.host, task);
      first.push(this.startTask(peer.host, task.signal));
    }
    await Promise.all(first);
  }

  /** Renews the delegation of this daemon to itself. */
  renewOwn(): void {
    const {clock, giver, holder, membership} = this.options;
    const self = membership.getSelf();
    const name = formatHostIncarnation(self);
    const answer = giver.answerHeartbeat(self, {
      sequence: ++this.sequence,
      knownView: holder.getKnownView(name),
    });
    this.applyAnswer(name, answer, clock.now());
  }

  /** Renews all delegations at once. */
  async renewAll(): Promise<void> {
    this.renewOwn();
    const hosts = [...this.tasks.keys()];
    await Promise.all(hosts.map((host) => this.sendHeartbeat(host)));
  }

  /** Ends all tasks. */
  stop(): void {
    this.isStopped = true;
    for (const task of this.tasks.values()) task.abort();
    this.tasks.clear();
  }

  private async startTask(host: string, signal: AbortSignal): Promise<void> {
    await this.sendHeartbeat(host);
    void this.runTask(host, signal);
  }

  private async runTask(host: string, signal: AbortSignal): Promise<void> {
    const {clock, getPeriodMs} = this.options;
    while (!signal.aborted) {
      await clock.sleep(getPeriodMs(), signal);
      if (signal.aborted) return;
      await this.sendHeartbeat(host);
    }
  }

  /** Sends a heartbeat, and another one when the run was not known. */
  private async sendHeartbeat(host: string): Promise<void> {
    const isSettled = await this.trySend(host);
    if (!isSettled) await this.trySend(host);
  }

  /** An answer counts only when it is known which run of the daemon gave it. */
  private async trySend(host: string): Promise<boolean> {
    const {clock, membership, holder, caller} = this.options;
    const peer = membership.listZonePeers().find((p) => p.host === host);
    if (peer === undefined) return true;
    const name = formatHostIncarnation(peer);
    const askedAtMs = clock.now();
    const request = {
      sequence: ++this.sequence,
      knownView: holder.getKnownView(name),
    };
    const answer = await caller.request<HeartbeatAnswer>(
      peer,
      'fleet.heartbeat',
      (client, signal) => client.fleet.heartbeat.mutate(request, {signal}),
    );
    if (answer.isErr()) return answer.error.code !== ErrorCode.CONFLICT;
    if (peer.incarnation === '') return false;
    membership.recordPeerSeen(peer);
    this.applyAnswer(name, answer.value, askedAtMs);
    return true;
  }

  private applyAnswer(
    delegator: string,
    answer: HeartbeatAnswer,
    askedAtMs: number,
  ): void {
    const {holder, onTokens} = this.options;
    const isApplied = holder.applyAnswer(delegator, answer, askedAtMs);
    if (isApplied && answer.tokens !== undefined) onTokens(answer.tokens);
  }
}

/** Formats a run of a daemon as a key of delegations. */
export function formatHostIncarnation(peer: PeerInfo): string {
  return `${peer.host}:${peer.incarnation}`;
}
