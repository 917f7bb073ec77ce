import {ErrorCode, SystemClock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {err, ok, type Result} from 'neverthrow';
import {
  answerMessage,
  createProcedure,
  PeerPool,
  PeerServer,
  type ProcedureTable,
} from '../src/index.js';

const SECRET = 'a secret of the daemons';
const clock = new SystemClock();

function createPeer(host: string, peerPort = 1): PeerInfo {
  return {
    host,
    zone: 'zone-a',
    region: 'region-1',
    address: '127.0.0.1',
    peerPort,
    incarnation: '',
  };
}

function validateNumber(
  value: unknown,
): Result<number, {field: string; found: string; expected: string}> {
  if (typeof value === 'number') return ok(value);
  return err({field: 'input', found: typeof value, expected: 'a number'});
}

const TABLE: ProcedureTable = new Map([
  ['double', createProcedure(validateNumber, (input) => input * 2)],
  [
    'caller',
    createProcedure(validateNumber, (input, {host}) => `${host} ${input}`),
  ],
  [
    'fail',
    createProcedure(validateNumber, () => {
      throw new Error('the procedure failed');
    }),
  ],
  [
    'never',
    createProcedure(validateNumber, () => new Promise<void>(() => undefined)),
  ],
]);

describe('procedures between daemons', () => {
  let server: PeerServer;
  let pool: PeerPool<never>;
  let peer: PeerInfo;

  beforeEach(async () => {
    server = new PeerServer({
      address: '127.0.0.1',
      port: 0,
      secret: SECRET,
      getIdleTimeoutMs: () => 5000,
      clock,
      getSelf: () => createPeer('host-1'),
    });
    peer = createPeer('host-1', await server.start(TABLE));
    pool = new PeerPool({
      secret: SECRET,
      clock,
      getSelf: () => createPeer('host-2'),
      connectTimeoutMs: 500,
      callTimeoutMs: 200,
      getMaxIdleMs: () => 10_000,
    });
  });

  afterEach(async () => {
    pool.stop();
    await server.stop();
  });

  it('answers calls, with the identity of the caller', async () => {
    const [doubled, caller] = await Promise.all([
      pool.call<number>(peer, 'double', 4, 200),
      pool.call<string>(peer, 'caller', 1, 200),
    ]);
    expect(doubled._unsafeUnwrap()).to.equal(8);
    expect(caller._unsafeUnwrap()).to.equal('host-2 1');
  });

  const failures = [
    {path: 'double', input: 'x', code: ErrorCode.INVALID_INPUT},
    {path: 'none', input: 1, code: ErrorCode.NOT_FOUND},
    {path: 'fail', input: 1, code: ErrorCode.REMOTE_ERROR},
    {path: 'never', input: 1, code: ErrorCode.TIMEOUT},
  ];
  for (const {path, input, code} of failures) {
    it(`reports ${code} for ${path}(${JSON.stringify(input)}) and answers later calls`, async () => {
      const failed = await pool.call(peer, path, input, 100);
      expect(failed._unsafeUnwrapErr().code).to.equal(code);
      const next = await pool.call<number>(peer, 'double', 1, 200);
      expect(next._unsafeUnwrap()).to.equal(2);
    });
  }

  const malformed = [
    '',
    '{',
    'null',
    '1',
    '[]',
    '{"id":1}',
    '{"id":1,"params":null}',
    '{"id":1,"params":{"path":3}}',
  ];
  for (const text of malformed) {
    it(`gives no answer to the malformed message ${JSON.stringify(text)}`, async () => {
      const answer = await answerMessage(TABLE, text, createPeer('host-2'));
      expect(answer).to.equal(undefined);
    });
  }
});
