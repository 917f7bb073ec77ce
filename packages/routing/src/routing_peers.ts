/** Calls of routing between daemons. */
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

/** Calls another daemon; every call is bounded in time. */
export interface RoutingPeers {
  /** Asks an owner for a place. */
  acquire(
    peer: PeerInfo,
    input: AcquireSlotInput,
  ): ResultAsync<AcquireSlotAnswer, SavoryspurError>;
  /** Gives places back to an owner. */
  release(
    peer: PeerInfo,
    input: ReleaseSlotsInput,
  ): ResultAsync<void, SavoryspurError>;
  /** Takes places back from a holder. */
  revoke(
    peer: PeerInfo,
    input: RevokeSlotsInput,
  ): ResultAsync<void, SavoryspurError>;
  /** Asks a holder for its live places. */
  register(
    peer: PeerInfo,
    input: RegisterSlotsInput,
  ): ResultAsync<RegisterSlotsAnswer, SavoryspurError>;
  /** Tells of requests that may crash servers. */
  suspect(
    peer: PeerInfo,
    input: SuspectInput,
  ): ResultAsync<void, SavoryspurError>;
  /** Tells of a request that crashes servers. */
  convict(
    peer: PeerInfo,
    input: QuarantineRecord,
  ): ResultAsync<void, SavoryspurError>;
}

/** Answers the calls of {@link RoutingPeers} on this daemon. */
export interface RoutingEndpoint {
  /** Handles the wish of a holder for a place. */
  handleAcquire(
    caller: PeerInfo,
    input: AcquireSlotInput,
  ): Promise<AcquireSlotAnswer>;
  /** Handles places that a holder gives back. */
  handleRelease(caller: PeerInfo, input: ReleaseSlotsInput): void;
  /** Handles places that an owner takes back. */
  handleRevoke(caller: PeerInfo, input: RevokeSlotsInput): void;
  /** Handles the question of an owner for live places. */
  handleRegister(
    caller: PeerInfo,
    input: RegisterSlotsInput,
  ): RegisterSlotsAnswer;
  /** Handles word of suspects. */
  handleSuspect(caller: PeerInfo, input: SuspectInput): void;
  /** Handles word of a convicted request. */
  handleConvict(caller: PeerInfo, input: QuarantineRecord): void;
}

/** One mutation of the typed client. */
interface Mutation<TInput, TAnswer> {
  mutate(input: TInput, options: {signal: AbortSignal}): Promise<TAnswer>;
}

/** The part of the daemons' typed client that routing calls. */
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
 * Makes the calls of routing over the daemons' typed client.
 *
 * @param caller - calls one daemon, bounded in time
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
