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
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';
import {formatHostIncarnation} from '../peers/membership.js';
import type {OwnerDirectory} from '../peers/owner_directory.js';
import type {OwnerSession} from '../peers/owner_session.js';
import {HAND_OVER_FEATURE} from './call_times.js';
import type {PoolOwner} from './pool_owner.js';

/** Timeout of the call to the former owner, milliseconds: many times the round trip between zones, and short compared to target latencies. */
const HAND_OVER_TIMEOUT_MS = 100;

/** Components that the authority uses. */
export interface PoolAuthorityOptions {
  directory: Pick<OwnerDirectory, 'isSelf' | 'isReachable'>;
  getSession: (
    service: string,
  ) => Pick<OwnerSession, 'getOwner' | 'getFormerOwner'> | undefined;
  getPool: (service: string) => PoolOwner;
  /** Lists the slots of a pool that this daemon uses. */
  listHeldSlots: (service: string) => HeldSlot[];
  /** Host of this daemon. */
  host: string;
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
    return this.acting.has(service) && !this.findSuccessor(service);
  }

  /**
   * Finds the daemon that grants the slots of a pool. Takes the pool over first
   * when this daemon has become its owner.
   *
   * @returns undefined when this daemon does
   */
  async find(service: string): Promise<PeerInfo | undefined> {
    const successor = this.findSuccessor(service);
    if (successor) return successor;
    if (this.acting.has(service)) return undefined;
    const owner = this.options.getSession(service)?.getOwner();
    if (!owner) return undefined;
    const {directory, hasFeature} = this.options;
    if (directory.isSelf(owner)) {
      await this.takeOver(service);
      return undefined;
    }
    return hasFeature(owner, HAND_OVER_FEATURE) ? owner : undefined;
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
    const {getSession, hasFeature, handOver, getPool} = this.options;
    const {host, listHeldSlots} = this.options;
    const former = getSession(service)?.getFormerOwner();
    if (former && hasFeature(former, HAND_OVER_FEATURE)) {
      const input = {pool: service};
      const answer = await handOver(former, input, HAND_OVER_TIMEOUT_MS);
      if (answer.isOk()) getPool(service).takeOverGrants(answer.value.grants);
    }
    // Requests that waited for the former owner may be decided on before the next synchronization.
    void getPool(service).sync(host, listHeldSlots(service), 0);
    this.successors.delete(service);
    this.acting.add(service);
  }
}

function isSameDaemon(one: PeerInfo, other: PeerInfo): boolean {
  return formatHostIncarnation(one) === formatHostIncarnation(other);
}
