import {ErrorCode, ManualClock, SavoryspurError} from '@savoryspur/common';
import {
  CallOutcome,
  type PeerInfo,
  type SlotAcquireRequest,
} from '@savoryspur/schema';
import {expect} from 'chai';
import {errAsync} from 'neverthrow';
import type {PoolAuthority} from '../src/slots/pool_authority.js';
import {PoolCallHandler} from '../src/slots/pool_call_handler.js';
import type {PoolOwner} from '../src/slots/pool_owner.js';
import type {SlotOwnerCalls} from '../src/slots/slot_owner_calls.js';
import {createPeer} from './support/create_peer.js';

const HOLDER = {host: 'holder', zone: 'zone-a'};
const POOL = 'assistant';

const REQUEST: SlotAcquireRequest = {
  pool: POOL,
  grantId: 'g',
  isBatch: false,
  workspace: 'w',
  priority: 0,
  dueInMs: 300,
  refuseInMs: 50,
  giveUpInMs: 100,
  prefix: [],
  excluded: [],
  avoidedZones: [],
};

describe('PoolCallHandler', () => {
  // A synchronization lists the slots in use when it was sent. Handled after the
  // release of one of them, it would add this slot again until the next one.
  it('handles a synchronization before a release that arrives right behind it', async () => {
    const handled: string[] = [];
    const handler = new PoolCallHandler({
      clock: new ManualClock(),
      authority: {
        isActing: () => true,
        find: () => Promise.resolve(undefined),
      } as unknown as PoolAuthority,
      calls: {} as SlotOwnerCalls,
      getPool: () =>
        ({
          sync: () => {
            handled.push('sync');
            return Promise.resolve([]);
          },
          cancel: () => handled.push('release'),
        }) as unknown as PoolOwner,
    });
    const sync = handler.sync({pool: POOL, holdings: [], waitMs: 0}, HOLDER);
    const outcome = CallOutcome.SUCCEEDED;
    const release = handler.release(
      {pool: POOL, grantId: 'g', outcome},
      HOLDER,
    );
    await Promise.all([sync, release]);
    expect(handled).to.deep.equal(['sync', 'release']);
  });

  const relayCases = [
    {name: 'timed out', code: ErrorCode.TIMEOUT, failures: []},
    {
      name: 'found no daemon',
      code: ErrorCode.UNAVAILABLE,
      failures: ['assistant next'],
    },
  ];
  for (const {name, code, failures} of relayCases) {
    // A daemon that grants slots again after one late decision does so beside the other.
    it(`decides on a request itself whose call to the next owner ${name}`, async () => {
      const failed: string[] = [];
      const next = createPeer('next');
      const decision = {kind: 'granted', serverId: 's'};
      const handler = new PoolCallHandler({
        clock: new ManualClock(),
        authority: {
          isActing: () => false,
          find: () => Promise.resolve(next),
          recordFailure: (service: string, {host}: PeerInfo) =>
            failed.push(`${service} ${host}`),
        } as unknown as PoolAuthority,
        calls: {
          acquire: () =>
            errAsync(
              new SavoryspurError(code, {step: 's', peer: 'next'}, 'failed'),
            ),
        } as unknown as SlotOwnerCalls,
        getPool: () => ({acquire: () => decision}) as unknown as PoolOwner,
      });
      const answer = await handler.acquire(REQUEST, HOLDER);
      expect(answer.serverId).to.equal('s');
      expect(failed).to.deep.equal(failures);
    });
  }
});
