/** Records servers that crash under a request. */
import {ServingEvent} from '@savoryspur/common';
import type {BackendServer} from '../service_registry.js';
import type {OnlineHandlerOptions} from './online_handler.js';
import type {OnlineRequest} from './online_types.js';
import {
  computeFingerprint,
  type RequestIdentity,
} from './request_quarantine.js';

/**
 * Maximum number of events that a server sends before it crashes under a request
 * that crashes servers, which happens when it begins to answer. More events show
 * that the prompt of the request is sound.
 */
export const MAX_EVENTS_BEFORE_CRASH = 1;

/** Call that the server broke off. */
export interface BrokenCall {
  server: BackendServer;
  /** When the call began, monotonic milliseconds. */
  startMs: number;
  /** Number of events that were received. */
  events: number;
}

/**
 * Records that the server crashed under the request if it no longer accepts
 * connections. A server that only lost the answer still accepts them.
 *
 * @param options - the quarantines and the way to probe a server
 * @param request - the request
 * @param identity - what the request has in common with its repeats
 * @param call - the call that the server broke off
 */
export async function recordCrash(
  options: OnlineHandlerOptions,
  request: OnlineRequest,
  identity: RequestIdentity,
  {server, startMs, events}: BrokenCall,
): Promise<void> {
  const {clock, log, quarantine, promptQuarantine, servers} = options;
  const endMs = clock.now();
  const fingerprint = computeFingerprint(identity);
  const parts = request.prefix;
  const hasCrashed = !(await servers.probe(server));
  log.record(ServingEvent.SERVER_BROKE_OFF, {
    requestId: request.requestId,
    workspace: identity.workspace,
    peer: server.id,
    hasCrashed,
    fingerprint,
    parts,
    events,
  });
  if (!hasCrashed) return;
  if (events <= MAX_EVENTS_BEFORE_CRASH) {
    const crashed = {fingerprint, parts};
    promptQuarantine.recordCrash(crashed, server.id, startMs, endMs);
  }
  if (!quarantine.recordCrash(identity, server.id)) return;
  log.record(ServingEvent.REQUEST_QUARANTINED, {
    requestId: request.requestId,
    workspace: identity.workspace,
    peer: server.id,
  });
}
