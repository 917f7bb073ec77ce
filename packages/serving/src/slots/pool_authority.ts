/**
 * Decides which daemon grants the slots of a pool while its owner changes, so that
 * two daemons never grant them at the same time. The former owner goes on until the
 * next one takes over; calls that reach another daemon are passed on.
 */
import type {SavoryspurError} from '@savoryspur/common';
import type {
  HeldSlot,
  PeerInfo,
  PoolHandOverAnswer,
  PoolHandOverRequest,
  RelayedHolder,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {isSameDaemon} from '../peers/incarnation.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import type {OwnerSession} from '../peers/owner_session.js';
import {HAND_OVER_FEATURE} from './call_times.js';
import type {PoolOwner} from './pool_owner.js';

/** Timeout of the call to the former owner, milliseconds: many times the round trip between zones. Requests for slots wait for it, as two daemons must not grant at once. */
const HAND_OVER_TIMEOUT_MS = 100;

/** Part of the session with the owner of a pool that the authority uses. */
export type FollowedOwner = Pick<
  OwnerSession,
  'getOwner' | 'getFormerOwner' | 'countOwnerChanges'
>;

/** Components that the authority uses. */
export interface PoolAuthorityOptions {
  directory: Pick<OwnerDirectory, 'isSelf' | 'isReachable'>;
  getSession: (service: string) => FollowedOwner | undefined;
  getPool: (service: string) => PoolOwner;
  /** Lists the slots of a pool that this daemon uses. */
  listHeldSlots: (service: string) => HeldSlot[];
  /** This daemon. */
  self: RelayedHolder;
  hasFeature: (peer: PeerInfo, feature: string) => boolean;
  handOver: (
    former: PeerInfo,
    input: PoolHandOverRequest,
    timeoutMs: number,
  ) => ResultAsync<PoolHandOverAnswer, SavoryspurError>;
}

/** Which daemon grants the slots of each pool, as this daemon knows it. */
export class PoolAuthority {
  /** Services whose slots this daemon grants. */
  private readonly acting = new Set<string>();
  /** Daemons that have taken pools over from this one, by service. */
  private readonly successors = new Map<string, PeerInfo>();
  /** Owner changes of the sessions when this daemon last began or stopped to grant slots, by service. */
  private readonly settledChanges = new Map<string, number>();
  /** Take-overs in progress, by service. */
  private readonly takeOvers = new Map<string, Promise<void>>();

  /**
   * @param options - sessions with the owners, pools and the call to a former owner
   */
  constructor(private readonly options: PoolAuthorityOptions) {}

  /**
   * Whether this daemon grants the slots of a pool now. Calls are answered without
   * a wait then: a synchronization that is handled after a release which arrived
   * behind it would add the released slot again.
   */
  isActing(service: string): boolean {
    return (
      this.acting.has(service) &&
      !this.findSuccessor(service) &&
      !this.isTakeOverDue(service)
    );
  }

  /**
   * Finds the daemon that grants the slots of a pool. Takes the pool over first
   * when this daemon has become its owner.
   *
   * @returns undefined when this daemon does
   */
  async find(service: string): Promise<PeerInfo | undefined> {
    if (this.isTakeOverDue(service)) {
      await this.takeOver(service);
      return undefined;
    }
    const successor = this.findSuccessor(service);
    if (successor) return successor;
    if (this.acting.has(service)) return undefined;
    const owner = this.options.getSession(service)?.getOwner();
    if (!owner) return undefined;
    return this.options.hasFeature(owner, HAND_OVER_FEATURE)
      ? owner
      : undefined;
  }

  /**
   * Finds the daemon that grants the slots of a pool, for a call that another daemon
   * has passed on: only one that took the pool over from this daemon, so that no call
   * goes in circles.
   *
   * @returns undefined when this daemon answers the call
   */
  async findForRelayed(service: string): Promise<PeerInfo | undefined> {
    await this.takeOvers.get(service);
    return this.findSuccessor(service);
  }

  /** Records that the daemon to which calls are passed on does not answer. */
  recordFailure(service: string, peer: PeerInfo): void {
    const successor = this.successors.get(service);
    if (!successor || !isSameDaemon(successor, peer)) return;
    this.successors.delete(service);
    this.acting.add(service);
    this.recordSettled(service);
  }

  /**
   * Hands a pool over to another daemon.
   *
   * @param service - service of the pool
   * @param next - the daemon that owns the pool from now on
   */
  withdraw(service: string, next: PeerInfo): PoolHandOverAnswer {
    if (!this.acting.delete(service)) return {isOwner: false, grants: []};
    this.successors.set(service, next);
    this.recordSettled(service);
    return {
      isOwner: true,
      grants: this.options.getPool(service).withdrawGrants(),
    };
  }

  /** Finds the daemon that has taken a pool over from this one and still owns it. */
  private findSuccessor(service: string): PeerInfo | undefined {
    const successor = this.successors.get(service);
    if (!successor) return undefined;
    if (this.options.directory.isReachable(successor)) return successor;
    this.recordFailure(service, successor);
    return undefined;
  }

  private takeOver(service: string): Promise<void> {
    const known = this.takeOvers.get(service);
    if (known) return known;
    const takeOver = this.runTakeOver(service).finally(() =>
      this.takeOvers.delete(service),
    );
    this.takeOvers.set(service, takeOver);
    return takeOver;
  }

  private async runTakeOver(service: string): Promise<void> {
    const {getPool, self, listHeldSlots} = this.options;
    const changes = this.countOwnerChanges(service);
    for (const former of this.listFormerOwners(service)) {
      if (await this.requestGrants(service, former)) break;
    }
    // Requests that waited for the former owner may be decided on before the next synchronization.
    void getPool(service).sync(self, listHeldSlots(service), 0);
    this.successors.delete(service);
    this.acting.add(service);
    this.settledChanges.set(service, changes);
  }

  /**
   * Lists the other daemons that may grant the slots of a pool that this daemon
   * takes over. Suspected ones are left out: others may still follow them, and one
   * daemon that suspects an owner must not take the pool from all.
   */
  private listFormerOwners(service: string): PeerInfo[] {
    const {getSession, directory, hasFeature} = this.options;
    const former = getSession(service)?.getFormerOwner();
    const successor = this.successors.get(service);
    const isOther = !former || !successor || !isSameDaemon(former, successor);
    return [former, isOther ? successor : undefined].filter(
      (peer): peer is PeerInfo =>
        peer !== undefined &&
        !directory.isSelf(peer) &&
        directory.isReachable(peer) &&
        hasFeature(peer, HAND_OVER_FEATURE),
    );
  }

  /**
   * Asks another daemon to hand a pool over, and takes its grants over.
   *
   * @returns whether the daemon has granted the slots until now
   */
  private async requestGrants(
    service: string,
    former: PeerInfo,
  ): Promise<boolean> {
    const {handOver, getPool} = this.options;
    const input = {pool: service};
    const answer = await handOver(former, input, HAND_OVER_TIMEOUT_MS);
    if (answer.isErr()) return false;
    getPool(service).takeOverGrants(answer.value.grants);
    return answer.value.isOwner;
  }

  /** Whether this daemon has become the owner of a pool since it last began or stopped to grant its slots. */
  private isTakeOverDue(service: string): boolean {
    const {getSession, directory} = this.options;
    const owner = getSession(service)?.getOwner();
    if (!owner || !directory.isSelf(owner)) return false;
    return this.countOwnerChanges(service) !== this.settledChanges.get(service);
  }

  private countOwnerChanges(service: string): number {
    return this.options.getSession(service)?.countOwnerChanges() ?? 0;
  }

  private recordSettled(service: string): void {
    this.settledChanges.set(service, this.countOwnerChanges(service));
  }
}
