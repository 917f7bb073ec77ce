import {ManualClock} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import type {PoolAuthority} from '../src/slots/pool_authority.js';
import {PoolCallHandler} from '../src/slots/pool_call_handler.js';
import type {PoolOwner} from '../src/slots/pool_owner.js';
import type {SlotOwnerCalls} from '../src/slots/slot_owner_calls.js';

const HOLDER = {host: 'holder', zone: 'zone-a'};
const POOL = 'assistant';

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
});
