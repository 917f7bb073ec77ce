import {SystemClock} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import {getEventListeners} from 'node:events';
import type {
  CallFailure,
  ServerCall,
  ServerReply,
} from '../src/online/online_types.js';
import {OtherServerSearch} from '../src/slots/other_server_search.js';
import type {SlotRequest} from '../src/slots/slot_allocator.js';

const CALL = {server: {id: 's-1'}} as Omit<ServerCall, 'firstByteTimeoutMs'>;

function createSearch(): OtherServerSearch {
  return new OtherServerSearch({
    clock: new SystemClock(),
    registry: {listLeaving: () => [], listServers: () => []},
    slotAllocator: {
      acquire: () => Promise.reject(new Error('no slot was expected')),
    },
    reachability: {getLastResponseMs: () => Number.NEGATIVE_INFINITY},
    createRequest: () =>
      ({service: 'ledger', excluded: []}) as unknown as SlotRequest,
  });
}

async function* createBody(): AsyncGenerator<Buffer, void, void> {
  yield Buffer.from('answer');
}

function createReply(): ServerReply {
  return {
    kind: 'reply',
    head: {statusCode: 200, headers: []},
    isSigned: true,
    isDelimited: true,
    body: createBody(),
    drop: () => undefined,
  };
}

// Guards against memory that grows with each call.
describe('a call with a search for another server', () => {
  const answers: Array<{
    name: string;
    answer: () => ServerReply | CallFailure;
  }> = [
    {name: 'is answered', answer: createReply},
    {
      name: 'fails',
      answer: () => ({
        kind: 'failure',
        outcome: CallOutcome.BROKEN,
        reason: 'reset',
      }),
    },
  ];
  for (const {name, answer} of answers) {
    it(`leaves no listener when it ${name}`, async () => {
      const {signal} = new AbortController();
      const servers = {
        call: () => Promise.resolve(answer()),
        probe: () => Promise.resolve(true),
        replaceConnections: () => undefined,
      };
      const reply = await createSearch().call(servers, {...CALL, signal}, 50);
      if (reply.kind === 'reply')
        for await (const bytes of reply.body) void bytes;
      expect(getEventListeners(signal, 'abort')).to.deep.equal([]);
    });
  }

  it('is aborted with its request while its answer arrives', async () => {
    const request = new AbortController();
    let seen: AbortSignal | undefined;
    const servers = {
      call: ({signal}: ServerCall) => {
        seen = signal;
        return Promise.resolve(createReply());
      },
      probe: () => Promise.resolve(true),
      replaceConnections: () => undefined,
    };
    const {signal} = request;
    await createSearch().call(servers, {...CALL, signal}, 50);
    request.abort();
    expect(seen?.aborted).to.equal(true);
  });
});
