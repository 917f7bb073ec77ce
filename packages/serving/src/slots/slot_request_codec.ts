/** Encodes slot requests for pool owners on other daemons, and decodes them there. */
import type {PeerInfo, SlotAcquireRequest} from '@savoryspur/schema';
import {
  ANSWER_DEADLINE_FEATURE,
  CALL_TIMES_FEATURE,
  CALLER_DEADLINE_FEATURE,
  RETRYABLE_REQUESTS_FEATURE,
} from './call_times.js';
import type {PoolRequest} from './pool_types.js';
import type {SlotRequest} from './slot_allocator.js';

/**
 * Encodes a slot request.
 *
 * @param request - the request
 * @param grantId - id of the grant, chosen by this daemon
 * @param nowMs - current time, monotonic milliseconds
 * @param hasFeature - tells whether the owner has announced a feature
 */
export function encodeSlotRequest(
  request: SlotRequest,
  grantId: string,
  nowMs: number,
  hasFeature: (feature: string) => boolean,
): SlotAcquireRequest {
  const {route, callerDeadlineMs, answerDeadlineMs, isRetryable} = request;
  const isRouteSent = route !== undefined && hasFeature(CALL_TIMES_FEATURE);
  const isDeadlineSent =
    callerDeadlineMs !== undefined && hasFeature(CALLER_DEADLINE_FEATURE);
  const isAnswerDeadlineSent =
    answerDeadlineMs !== undefined && hasFeature(ANSWER_DEADLINE_FEATURE);
  const isRepetitionSent =
    isRetryable !== undefined && hasFeature(RETRYABLE_REQUESTS_FEATURE);
  return {
    pool: request.service,
    grantId,
    ...(isRouteSent && {route}),
    ...(isRepetitionSent && {isRetryable}),
    ...(isDeadlineSent && {deadlineInMs: callerDeadlineMs - nowMs}),
    ...(isAnswerDeadlineSent && {answerInMs: answerDeadlineMs - nowMs}),
    isBatch: request.isBatch,
    workspace: request.workspace,
    priority: request.priority,
    // Owners of earlier releases refuse an online request, until `refuseInMs`, when
    // its first event is expected after `dueInMs`, and order requests by that.
    dueInMs: (request.isBatch ? request.dueMs : request.waitDeadlineMs) - nowMs,
    refuseInMs: request.waitDeadlineMs - nowMs,
    giveUpInMs: Math.max(0, request.waitDeadlineMs - nowMs),
    prefix: [...request.prefix],
    excluded: [...request.excluded],
    avoidedZones: [...(request.unreachableZones ?? [])],
    softwareVersion: request.softwareVersion,
    ...encodeForwarding(request),
  };
}

/**
 * Encodes a request that was queued on this daemon for the next owner of the pool.
 *
 * @param request - the request
 * @param pool - name of the service
 * @param nowMs - current time, monotonic milliseconds
 */
export function encodeRelayedRequest(
  request: PoolRequest,
  pool: string,
  nowMs: number,
): SlotAcquireRequest {
  const {grantId, holder, zone} = request;
  return {
    ...encodeSlotRequest(
      {...request, service: pool},
      grantId,
      nowMs,
      () => true,
    ),
    relayedFor: {host: holder, zone},
  };
}

/**
 * Decodes a slot request.
 *
 * @param input - the message
 * @param caller - daemon that sent it
 * @param nowMs - current time, monotonic milliseconds
 */
export function decodeSlotRequest(
  input: SlotAcquireRequest,
  caller: Pick<PeerInfo, 'host' | 'zone'>,
  nowMs: number,
): PoolRequest {
  return {
    grantId: input.grantId,
    holder: caller.host,
    zone: caller.zone,
    route: input.route,
    isRetryable: input.isRetryable,
    isBatch: input.isBatch,
    workspace: input.workspace,
    priority: input.priority,
    dueMs: nowMs + (input.isBatch ? input.dueInMs : input.giveUpInMs),
    waitDeadlineMs: nowMs + input.giveUpInMs,
    ...decodeDeadlines(input, nowMs),
    prefix: input.prefix,
    excluded: input.excluded,
    unreachableZones: input.avoidedZones,
    forwardedServerIds: input.forwardedServers,
    forwardedZones: input.forwardedZones,
    softwareVersion: input.softwareVersion,
  };
}

/** Decodes the deadlines of the caller; daemons of an earlier release don't send all of them. */
function decodeDeadlines(
  {deadlineInMs, answerInMs = deadlineInMs}: SlotAcquireRequest,
  nowMs: number,
): Pick<PoolRequest, 'answerDeadlineMs' | 'callerDeadlineMs'> {
  return {
    ...(answerInMs !== undefined && {answerDeadlineMs: nowMs + answerInMs}),
    ...(deadlineInMs !== undefined && {callerDeadlineMs: nowMs + deadlineInMs}),
  };
}

/** Encodes the servers that are called through another daemon; owners of an earlier release accept no such fields, so they are left out while there are none. */
function encodeForwarding({
  forwardedServerIds = [],
  forwardedZones = [],
}: SlotRequest): Pick<
  SlotAcquireRequest,
  'forwardedServers' | 'forwardedZones'
> {
  if (forwardedServerIds.length === 0 && forwardedZones.length === 0) return {};
  return {
    forwardedServers: [...forwardedServerIds],
    forwardedZones: [...forwardedZones],
  };
}
