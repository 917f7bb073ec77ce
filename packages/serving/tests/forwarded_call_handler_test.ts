import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import type {StreamWriter} from '@savoryspur/fleet';
import {CallOutcome, type ForwardedCall} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  ForwardedCallHandler,
  type ForwardedCallOptions,
} from '../src/forwarding/forwarded_call_handler.js';
import type {CallFailure, ServerReply} from '../src/online/online_types.js';

const INPUT: ForwardedCall = {
  serverId: 'server-1',
  requestId: 'request-1',
  method: 'POST',
  host: 'service.example',
  target: '/',
  headers: [],
  firstByteTimeoutMs: 0,
  maxConnections: 1,
  isOnNewConnection: false,
};

async function* readBody(): AsyncGenerator<Buffer, void, void> {
  yield Buffer.from('answer');
}

const ANSWERS: Array<ServerReply | CallFailure> = [
  {
    kind: 'reply',
    head: {statusCode: 200, headers: []},
    isSigned: true,
    isDelimited: true,
    body: readBody(),
    drop: () => undefined,
  },
  {kind: 'failure', outcome: CallOutcome.BROKEN, reason: 'test'},
];

describe('ForwardedCallHandler', () => {
  for (const answer of ANSWERS) {
    it(`counts a call until its answer was taken, so that no drain cuts it: ${answer.kind}`, async () => {
      let take: () => void = () => undefined;
      const handler = new ForwardedCallHandler({
        direct: {
          markUnresponsive: () => undefined,
          isReachable: () => true,
          call: () => Promise.resolve(answer),
        },
        registry: {
          findServer: () => ({id: 'server-1'}),
          getEnvironment: () => undefined,
        },
        clock: new ManualClock(),
        log: new MemoryEventLog(),
        random: () => 0,
      } as unknown as ForwardedCallOptions);
      let hasEnded: () => void = () => undefined;
      const ended = new Promise<void>((resolve) => (hasEnded = resolve));
      const writer: StreamWriter = {
        refuse: (reason) => expect.fail(reason),
        begin: () => undefined,
        write: () => Promise.resolve(),
        end: () => {
          hasEnded();
          return new Promise((resolve) => (take = resolve));
        },
      };
      const served = handler.serve(
        {
          input: INPUT,
          body: Buffer.from('body'),
          caller: {
            host: 'host-1',
            zone: 'zone-a',
            region: 'region-a',
            address: '127.0.0.1',
            peerPort: 1,
            incarnation: 'first',
          },
          signal: new AbortController().signal,
        },
        writer,
      );
      await ended;
      await new Promise(setImmediate);
      expect(handler.countActive()).to.equal(1);
      take();
      await served;
      expect(handler.countActive()).to.equal(0);
    });
  }
});
