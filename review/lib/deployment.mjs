// Desired state of a small deployment, and a client's calls on batch submissions.
import {send} from './fleet.mjs';

export const HOST = 'reviews.example';

/** Keys of the tenants. */
export const KEYS = {
  one: 'key-of-one-2b9wu3fexd9',
  two: 'key-of-two-s989anu6wsj',
};

/** Creates the desired state; the fields given replace those of the routes, services and tenants. */
export function createConfig({batch = {}, tenants} = {}) {
  const shared = {host: HOST, priority: 0, public: false};
  return {
    version: 7,
    routes: [
      {
        ...shared,
        name: 'r-sheets',
        pathPrefix: '/sheets/',
        kind: 'batch',
        service: 'assist',
        timeoutMs: 15_000,
        targetLatencyMs: 400,
        completionTargetMs: 18_000,
        attempts: 3,
        retentionS: 60,
        maxCount: 910_000,
        ...batch,
      },
      {
        ...shared,
        name: 'r-lookup',
        pathPrefix: '/lookup/',
        kind: 'idempotent',
        service: 'ledger',
        timeoutMs: 2500,
        targetLatencyMs: 193,
        attempts: 2,
      },
    ],
    services: [
      {
        name: 'assist',
        healthPath: '/health',
        maxConnections: 370,
        protocol: 'h1',
        tls: false,
        warmupS: 3,
        warmupPerS: 17,
      },
      {
        name: 'ledger',
        healthPath: '/health',
        maxConnections: 110,
        protocol: 'h1',
        tls: false,
        warmupS: 0,
        warmupPerS: 0,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: tenants ?? [
      {name: 'one', apiKeys: [KEYS.one]},
      {name: 'two', apiKeys: [KEYS.two]},
    ],
  };
}

function headersOf(key, extra = {}) {
  return {Host: HOST, 'X-Api-Key': key, ...extra};
}

/** Submits a batch submission. */
export function submit({ip, port}, key, jobId, requests) {
  const body = Buffer.from(JSON.stringify({requests}));
  return send({
    host: ip,
    port,
    path: `/sheets/${jobId}`,
    headers: headersOf(key, {
      'X-Attempt-Id': jobId,
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    }),
    body,
  });
}

/** Reads results from a position on. */
export async function readResults({ip, port}, key, jobId, after = 0) {
  const answer = await send({
    host: ip,
    port,
    path: `/lots/${jobId}?after=${after}`,
    method: 'GET',
    headers: headersOf(key, {'X-Wait-Ms': '1000'}),
  });
  const isRead = answer.status === 200;
  return {...answer, json: isRead ? JSON.parse(answer.body) : undefined};
}

/** Ends a batch submission. */
export function cancel({ip, port}, key, jobId) {
  return send({
    host: ip,
    port,
    path: `/lots/${jobId}`,
    method: 'DELETE',
    headers: headersOf(key),
  });
}

/** Sends an online request. */
export function ask({ip, port}, key, target, id, deadlineMs = 2500) {
  return send({
    host: ip,
    port,
    path: target,
    headers: headersOf(key, {
      'X-Attempt-Id': id,
      'X-Deadline-Ms': String(deadlineMs),
    }),
    body: 'question',
    timeoutMs: deadlineMs + 2000,
  });
}
