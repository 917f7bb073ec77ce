import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {type PeerStream, StreamLostError} from '@savoryspur/fleet';
import {CallOutcome, type PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {ForwardPeers} from '../src/forwarding/forward_peers.js';
import {
  type ForwardingOptions,
  ForwardingServerCaller,
} from '../src/forwarding/forwarding_server_caller.js';
import type {
  CallFailure,
  ServerCall,
  ServerReply,
} from '../src/online/online_types.js';
import type {ForwardPeer} from '../src/peers/membership.js';
import type {BackendServer} from '../src/service_registry.js';

/** Time after which a search no longer keeps other requests from searching, milliseconds. */
const MAX_SEARCH_MS = 300;

/** Time for which the process is suspended, milliseconds: longer than the timeout of a forwarded call. */
const SUSPENSION_MS = 300;

const SELF = createPeer('self');

const SERVER = {id: 'server-1', zone: 'zone-a'} as BackendServer;

function createPeer(host: string): PeerInfo {
  return {
    host,
    zone: 'zone-a',
    region: 'region-a',
    address: '127.0.0.1',
    peerPort: 1,
    incarnation: 'first',
  };
}

function createCall(): ServerCall {
  return {
    server: SERVER,
    requestId: 'request-1',
    method: 'POST',
    host: 'service.example',
    target: '/',
    headers: [],
    body: Buffer.from('body'),
    firstByteTimeoutMs: 0,
    maxConnections: 1,
    signal: new AbortController().signal,
  };
}

/** Answer of a daemon in between whose body stalls until it is dropped. */
function createStalledStream(): PeerStream {
  let fail: (error: Error) => void = () => undefined;
  const dropped = new Promise<never>((ignored, reject) => (fail = reject));
  dropped.catch(() => undefined);
  async function* readBody(): AsyncGenerator<Buffer, void, void> {
    yield Buffer.from('first');
    await dropped;
  }
  return {
    head: {statusCode: 200, headers: [], isSigned: true, isDelimited: true},
    body: readBody(),
    getEnd: () => undefined,
    drop: () => fail(new StreamLostError('aborted')),
  };
}

describe('ForwardingServerCaller', () => {
  let clock: ManualClock;
  let peers: ForwardPeers;
  let servers: ForwardingServerCaller;
  let directCalls: number;
  /** Whether this daemon reaches the server, as far as it knows. */
  let isReachable: boolean;
  /** Hosts that were asked to make a call. */
  let asked: string[];
  /** Headers of the answers that the registry was told of. */
  let recorded: Array<readonly string[]>;
  /** Answers to the calls, in the order of the calls. */
  let answers: Array<(stream: PeerStream) => void>;

  beforeEach(() => {
    clock = new ManualClock();
    directCalls = 0;
    isReachable = false;
    asked = [];
    recorded = [];
    answers = [];
    const members: ForwardPeer[] = ['near-1', 'near-2'].map((host) => ({
      peer: createPeer(host),
      isCutOff: false,
    }));
    peers = new ForwardPeers({
      members: {self: SELF, listForwardPeers: () => members},
      isPeerReachable: () => true,
      clock,
      random: () => 0,
    });
    servers = new ForwardingServerCaller({
      direct: {
        isReachable: () => isReachable,
        isCutOff: () => false,
        isUnresponsive: () => !isReachable,
        call: (): Promise<CallFailure> => {
          directCalls += 1;
          const outcome = CallOutcome.UNREACHABLE;
          return Promise.resolve({kind: 'failure', outcome, reason: 'test'});
        },
      } as unknown as ForwardingOptions['direct'],
      peers,
      streams: {
        open: (peer, name, input, body, signal) => {
          asked.push(peer.host);
          return new Promise((resolve, reject) => {
            answers.push(resolve);
            signal.addEventListener('abort', () =>
              reject(new StreamLostError('aborted')),
            );
          });
        },
      },
      probeThroughPeer: () => {
        throw new Error('not used');
      },
      registry: {
        recordAnswer: (server, headers) => recorded.push(headers),
      } as Partial<
        ForwardingOptions['registry']
      > as ForwardingOptions['registry'],
      clock,
      log: new MemoryEventLog(),
      random: () => 0,
    });
  });

  it('forwards a call for which its slot was chosen while another request began a search', async () => {
    expect(servers.hasForwardPeer(SERVER.zone)).to.equal(true);
    void servers.call(createCall());
    void servers.call(createCall());
    await new Promise(setImmediate);
    expect(directCalls).to.equal(0);
    expect(asked).to.deep.equal(['near-1', 'near-2']);
  });

  it('asks no further host and makes no connect once the time for connects is over', async () => {
    const connectUntilMs = clock.now() + 100;
    const pending = servers.call({...createCall(), connectUntilMs});
    await new Promise(setImmediate);
    expect(asked).to.deep.equal(['near-1']);
    clock.advance(100);
    const unreachable = {outcome: CallOutcome.UNREACHABLE, reason: 'test'};
    answers[0]?.({...createStalledStream(), head: {failure: unreachable}});
    await new Promise(setImmediate);
    expect(asked).to.deep.equal(['near-1']);
    expect(await pending).to.include({outcome: CallOutcome.UNREACHABLE});
    expect(directCalls).to.equal(0);
  });

  // Its server would be taken for unreachable, and requests refused that it can run.
  it('calls a server directly that became reachable while all other daemons refused the call', async () => {
    const pending = servers.call(createCall());
    isReachable = true;
    const unreachable = {outcome: CallOutcome.UNREACHABLE, reason: 'test'};
    for (const peer of ['near-1', 'near-2']) {
      await new Promise(setImmediate);
      expect(asked.at(-1)).to.equal(peer);
      answers.at(-1)?.({
        ...createStalledStream(),
        head: {failure: unreachable},
      });
    }
    await pending;
    expect(directCalls).to.equal(1);
  });

  it('lets others search while a call that was sent waits long for its answer', async () => {
    void servers.call(createCall());
    await new Promise(setImmediate);
    clock.advance(MAX_SEARCH_MS - 1);
    expect(servers.hasForwardPeer(SERVER.zone)).to.equal(false);
    clock.advance(1);
    expect(servers.hasForwardPeer(SERVER.zone)).to.equal(true);
  });

  it('blames no host for all servers of a zone when the answer of one stalls', async () => {
    const pending = servers.call(createCall());
    await new Promise(setImmediate);
    answers[0]?.(createStalledStream());
    const reply = (await pending) as ServerReply;
    let failure: unknown;
    try {
      for await (const bytes of reply.body) {
        expect(String(bytes)).to.equal('first');
        setImmediate(() => reply.drop());
      }
    } catch (thrown) {
      failure = thrown;
    }
    expect(failure).to.have.property('outcome', CallOutcome.ABANDONED);
    const other = {id: 'server-2', zone: SERVER.zone};
    expect(peers.choose(other, new Set(['near-2']))?.host).to.equal('near-1');
  });

  it('takes an answer that was unread when its timeout expired, since the process was suspended', async () => {
    const reply = servers.call({...createCall(), firstByteTimeoutMs: 1});
    setImmediate(() => {
      const untilMs = performance.now() + SUSPENSION_MS;
      while (performance.now() < untilMs);
      // Connections are read after timers have run.
      setImmediate(() => answers[0]?.(createStalledStream()));
    });
    expect((await reply).kind).to.equal('reply');
  });

  const HEADERS = ['Header', 'value'];
  const failure = {outcome: CallOutcome.BROKEN, reason: 'test'};
  const heads = [
    {
      name: 'an answer',
      head: {statusCode: 200, headers: HEADERS},
      headers: HEADERS,
    },
    {name: 'a failure', head: {failure, headers: HEADERS}, headers: HEADERS},
    {name: 'a failure by a former build', head: {failure}, headers: []},
  ];
  for (const {name, head, headers} of heads) {
    it(`tells the registry the headers of the server's answer: ${name}`, async () => {
      const pending = servers.call(createCall());
      await new Promise(setImmediate);
      answers[0]?.({...createStalledStream(), head});
      await pending;
      expect(recorded).to.deep.equal([headers]);
    });
  }
});
