/** Heartbeats to the daemons of the zone, which answer with delegations. */
import {type Clock, ErrorCode} from '@savoryspur/common';
import type {HeartbeatAnswer, KeyTokens, PeerInfo} from '@savoryspur/schema';
import type {TRPCClient} from '@trpc/client';
import type {PeerCaller} from './contract.js';
import type {DelegationGrantor} from './delegation_grantor.js';
import type {DelegationHolder} from './delegation_holder.js';
import type {FleetRootRouter} from './fleet_router.js';
import type {Membership} from './membership.js';

/** Dependencies and settings of {@link Heartbeats}. */
export interface HeartbeatOptions {
  clock: Clock;
  membership: Membership;
  grantor: DelegationGrantor;
  holder: DelegationHolder;
  caller: PeerCaller<TRPCClient<FleetRootRouter>>;
  /** Called with released tokens that came with an applied delegation. */
  onReleasedTokens: (released: readonly KeyTokens[]) => void;
  /** Gets the time between two heartbeats to one peer, milliseconds. */
  getPeriodMs: () => number;
}

/**
 * Renews the delegations from the daemons of the zone, this one included, with
 * one periodic task for each other daemon.
 */
export class Heartbeats {
  private readonly tasks = new Map<string, AbortController>();
  private sequence = 0;
  private isStopped = false;

  /**
   * @param options - membership, delegations and timing
   */
  constructor(private readonly options: HeartbeatOptions) {}

  /**
   * Starts a task for each new daemon of the zone, and stops the tasks of
   * daemons that are no longer listed.
   *
   * @returns a promise that resolves after the first heartbeats to the new
   *     daemons
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
    const firstHeartbeats: Array<Promise<void>> = [];
    for (const peer of peers) {
      if (this.tasks.has(peer.host)) continue;
      const task = new AbortController();
      this.tasks.set(peer.host, task);
      firstHeartbeats.push(this.startTask(peer.host, task.signal));
    }
    await Promise.all(firstHeartbeats);
  }

  /** Renews the delegation of this daemon to itself. */
  renewOwnDelegation(): void {
    const {clock, grantor, holder, membership} = this.options;
    const self = membership.getSelf();
    const name = formatHostIncarnation(self);
    const answer = grantor.answerHeartbeat(self, {
      sequence: ++this.sequence,
      knownView: holder.getKnownView(name),
    });
    this.applyAnswer(name, answer, clock.now());
  }

  /** Renews the delegations from all daemons of the zone now. */
  async renewAllDelegations(): Promise<void> {
    this.renewOwnDelegation();
    const hosts = [...this.tasks.keys()];
    await Promise.all(hosts.map((host) => this.sendHeartbeat(host)));
  }

  /** Stops all tasks. */
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

  /**
   * Sends a heartbeat, and a second one when the peer's incarnation was not
   * known or had changed.
   */
  private async sendHeartbeat(host: string): Promise<void> {
    const isFinal = await this.trySendHeartbeat(host);
    if (!isFinal) await this.trySendHeartbeat(host);
  }

  /**
   * Sends one heartbeat. The answer is applied only when the incarnation of the
   * daemon that answers was known before the call.
   *
   * @returns false when the incarnation was not known or had changed
   */
  private async trySendHeartbeat(host: string): Promise<boolean> {
    const {clock, membership, holder, caller} = this.options;
    const peer = membership.listZonePeers().find((p) => p.host === host);
    if (peer === undefined) return true;
    const name = formatHostIncarnation(peer);
    const sentAtMs = clock.now();
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
    this.applyAnswer(name, answer.value, sentAtMs);
    return true;
  }

  private applyAnswer(
    delegator: string,
    answer: HeartbeatAnswer,
    sentAtMs: number,
  ): void {
    const {holder, onReleasedTokens} = this.options;
    const isDelegated = holder.applyAnswer(delegator, answer, sentAtMs);
    if (isDelegated && answer.tokens !== undefined)
      onReleasedTokens(answer.tokens);
  }
}

/** Formats one incarnation of a daemon as `host:incarnation`. */
export function formatHostIncarnation(peer: PeerInfo): string {
  return `${peer.host}:${peer.incarnation}`;
}
