/**
 * Calls of routing between daemons. The messages call a concurrency slot a
 * place.
 */
import type {SavoryspurError} from '@savoryspur/common';
import type {PeerCaller} from '@savoryspur/fleet';
import type {
  AcquireSlotAnswer,
  AcquireSlotInput,
  PeerInfo,
  QuarantineRecord,
  RegisterSlotsAnswer,
  RegisterSlotsInput,
  ReleaseSlotsInput,
  RevokeSlotsInput,
  SuspectInput,
} from '@savoryspur/schema';
import type {ResultAsync} from 'neverthrow';

/** Calls other daemons; every call has a timeout. */
export interface RoutingPeers {
  /** Asks an owner for a slot. */
  acquire(
    peer: PeerInfo,
    input: AcquireSlotInput,
  ): ResultAsync<AcquireSlotAnswer, SavoryspurError>;
  /** Tells an owner that slots are released. */
  release(
    peer: PeerInfo,
    input: ReleaseSlotsInput,
  ): ResultAsync<void, SavoryspurError>;
  /** Asks a holder to release slots early. */
  revoke(
    peer: PeerInfo,
    input: RevokeSlotsInput,
  ): ResultAsync<void, SavoryspurError>;
  /**
   * Asks a holder for its held slots, and registers the caller as an owner that
   * gets their releases.
   */
  register(
    peer: PeerInfo,
    input: RegisterSlotsInput,
  ): ResultAsync<RegisterSlotsAnswer, SavoryspurError>;
  /**
   * Reports suspects, cleared suspects, or requests blocked by a crash check.
   */
  suspect(
    peer: PeerInfo,
    input: SuspectInput,
  ): ResultAsync<void, SavoryspurError>;
  /** Reports a request that is quarantined because it crashes servers. */
  convict(
    peer: PeerInfo,
    input: QuarantineRecord,
  ): ResultAsync<void, SavoryspurError>;
}

/** Answers the calls of {@link RoutingPeers} on this daemon. */
export interface RoutingEndpoint {
  /** Handles the request of a holder for a slot. */
  handleAcquire(
    caller: PeerInfo,
    input: AcquireSlotInput,
  ): Promise<AcquireSlotAnswer>;
  /** Handles slots that a holder releases. */
  handleRelease(caller: PeerInfo, input: ReleaseSlotsInput): void;
  /** Handles slots that an owner revokes. */
  handleRevoke(caller: PeerInfo, input: RevokeSlotsInput): void;
  /** Handles the request of an owner for this host's held slots. */
  handleRegister(
    caller: PeerInfo,
    input: RegisterSlotsInput,
  ): RegisterSlotsAnswer;
  /** Handles a report of suspects, cleared suspects or blocked requests. */
  handleSuspect(caller: PeerInfo, input: SuspectInput): void;
  /** Handles a report of a quarantined request. */
  handleConvict(caller: PeerInfo, input: QuarantineRecord): void;
}

/** A mutation of the typed tRPC client. */
interface Mutation<TInput, TAnswer> {
  mutate(input: TInput, options: {signal: AbortSignal}): Promise<TAnswer>;
}

/** The part of the daemons' typed tRPC client that routing uses. */
export interface RoutingClient {
  routing: {
    acquire: Mutation<AcquireSlotInput, AcquireSlotAnswer>;
    release: Mutation<ReleaseSlotsInput, void>;
    revoke: Mutation<RevokeSlotsInput, void>;
    register: Mutation<RegisterSlotsInput, RegisterSlotsAnswer>;
    suspect: Mutation<SuspectInput, void>;
    convict: Mutation<QuarantineRecord, void>;
  };
}

/**
 * Makes the calls of routing over the daemons' typed tRPC client.
 *
 * @param caller - calls one daemon with a timeout
 */
export function createRoutingPeers(
  caller: PeerCaller<RoutingClient>,
): RoutingPeers {
  return {
    acquire: (peer, input) =>
      caller.request(peer, 'routing.acquire', (client, signal) =>
        client.routing.acquire.mutate(input, {signal}),
      ),
    release: (peer, input) =>
      caller.request(peer, 'routing.release', (client, signal) =>
        client.routing.release.mutate(input, {signal}),
      ),
    revoke: (peer, input) =>
      caller.request(peer, 'routing.revoke', (client, signal) =>
        client.routing.revoke.mutate(input, {signal}),
      ),
    register: (peer, input) =>
      caller.request(peer, 'routing.register', (client, signal) =>
        client.routing.register.mutate(input, {signal}),
      ),
    suspect: (peer, input) =>
      caller.request(peer, 'routing.suspect', (client, signal) =>
        client.routing.suspect.mutate(input, {signal}),
      ),
    convict: (peer, input) =>
      caller.request(peer, 'routing.convict', (client, signal) =>
        client.routing.convict.mutate(input, {signal}),
      ),
  };
}
