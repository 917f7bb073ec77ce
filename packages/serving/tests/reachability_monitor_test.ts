import {ManualClock, MemoryEventLog} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import type {BackendServer} from '../src/service_registry.js';
import {
  BrokenBodyError,
  type CallFailure,
  type ServerCall,
  type ServerCaller,
  type ServerReply,
} from '../src/online/online_types.js';
import {ReachabilityMonitor} from '../src/online/reachability_monitor.js';

function createServer(id: string, zone: string): BackendServer {
  return {
    id,
    service: 'service',
    address: '127.0.0.1:1',
    zone,
    softwareVersion: 'v1',
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
  };
}

const NEAR = createServer('near', 'zone-a');
const FAR = createServer('far', 'zone-b');
const OTHER_FAR = createServer('far-too', 'zone-b');

/** Servers that answer when a test calls {@link FakeServers.answer}. */
class FakeServers implements ServerCaller {
  /** Whether probes succeed. */
  isReachable = true;
  probes = 0;
  readonly replaced: string[] = [];
  private readonly pendingCalls: Array<
    (reply: ServerReply | CallFailure) => void
  > = [];

  /** Keeps the call pending until {@link FakeServers.answer}. */
  call(): Promise<ServerReply | CallFailure> {
    return new Promise((resolve) => this.pendingCalls.push(resolve));
  }

  /** Counts the probe. */
  probe(): Promise<boolean> {
    this.probes += 1;
    return Promise.resolve(this.isReachable);
  }

  /** Records the server. */
  replaceConnections(server: BackendServer): void {
    this.replaced.push(server.id);
  }

  /** Takes the answers to all pending calls, the oldest first. */
  takePending(): Array<(reply: ServerReply | CallFailure) => void> {
    return this.pendingCalls.splice(0);
  }

  /** Ends the oldest pending call. */
  answer(reply: ServerReply | CallFailure): void {
    this.pendingCalls.shift()?.(reply);
  }
}

async function* createBody(
  parts: number,
  failure?: CallOutcome,
): AsyncGenerator<Buffer, void, void> {
  for (let part = 0; part < parts; part++) {
    yield await Promise.resolve(Buffer.from('x'));
  }
  if (failure !== undefined) throw new BrokenBodyError(failure, 'broken');
}

function createReply(body: AsyncIterable<Buffer>): ServerReply {
  return {
    kind: 'reply',
    head: {statusCode: 200, headers: []},
    isSigned: true,
    isDelimited: true,
    body,
    drop: () => undefined,
  };
}

function createFailure(outcome: CallOutcome): CallFailure {
  return {kind: 'failure', outcome, reason: 'test'};
}

describe('ReachabilityMonitor', () => {
  let clock: ManualClock;
  let servers: FakeServers;
  let monitor: ReachabilityMonitor;

  beforeEach(() => {
    clock = new ManualClock();
    servers = new FakeServers();
    monitor = new ReachabilityMonitor(servers, clock, new MemoryEventLog());
  });

  function call(server: BackendServer): Promise<ServerReply | CallFailure> {
    return monitor.call({server} as ServerCall);
  }

  async function advance(ms: number): Promise<void> {
    clock.advance(ms);
    await new Promise(setImmediate);
  }

  /** Asks for the reachable servers as requests do, each half a second. */
  async function request(count: number): Promise<void> {
    for (let request = 0; request < count; request += 1) {
      await advance(500);
      monitor.listUnreachable();
      await advance(10);
    }
  }

  it('suspects a zone whose calls are unanswered until a probe succeeds', async () => {
    servers.isReachable = false;
    void call(FAR);
    void call(OTHER_FAR);
    await advance(150);
    expect(monitor.listUnreachable().zones).to.deep.equal([]);
    await advance(100);
    expect(monitor.listUnreachable().zones).to.deep.equal(['zone-b']);
    await advance(5000);
    expect(monitor.listUnreachable().zones).to.deep.equal(['zone-b']);
    servers.isReachable = true;
    await advance(300);
    expect(monitor.listUnreachable().zones).to.deep.equal([]);
  });

  it('does not suspect a zone while any of its servers responds', async () => {
    void call(FAR);
    void call(OTHER_FAR);
    for (let ms = 0; ms < 390; ms += 130) {
      await advance(130);
      const ended = call(OTHER_FAR);
      servers.answer(createReply(createBody(1)));
      servers.answer(createReply(createBody(1)));
      servers.answer(createReply(createBody(1)));
      await ended;
      expect(monitor.listUnreachable().zones).to.deep.equal([]);
    }
  });

  it('suspects a single unresponsive server without its zone', async () => {
    servers.isReachable = false;
    void call(FAR);
    await advance(450);
    expect(monitor.listUnreachable()).to.deep.equal({
      zones: [],
      serverIds: ['far'],
    });
  });

  it('replaces connections when probes succeed and open calls stay unanswered', async () => {
    void call(FAR);
    void call(OTHER_FAR);
    await advance(250);
    monitor.listUnreachable();
    await advance(10);
    expect(monitor.listUnreachable().zones).to.deep.equal([]);
    expect(servers.replaced).to.deep.equal([]);
    await advance(250);
    monitor.listUnreachable();
    expect(servers.replaced).to.include.members(['far', 'far-too']);
  });

  it('does not suspect a target again after a successful probe when no calls are open', async () => {
    for (const server of [FAR, OTHER_FAR]) {
      const ended = call(server);
      servers.answer(createFailure(CallOutcome.SILENT));
      await ended;
    }
    for (let ms = 0; ms < 5000; ms += 500) {
      await advance(500);
      monitor.listUnreachable();
      await advance(10);
    }
    // One probe for the zone and one for each server.
    expect(servers.probes).to.equal(3);
    expect(servers.replaced).to.deep.equal([]);
  });

  it('counts a stream that stalls after its first events', async () => {
    servers.isReachable = false;
    for (const server of [FAR, OTHER_FAR]) {
      const begun = call(server);
      servers.answer(createReply(createBody(1)));
      const reply = await begun;
      if (reply.kind === 'reply') {
        await reply.body[Symbol.asyncIterator]().next();
      }
    }
    await advance(250);
    expect(monitor.listUnreachable().zones).to.deep.equal(['zone-b']);
  });

  for (const {name, outcome, isSuspected} of [
    {name: 'timed out', outcome: CallOutcome.SILENT, isSuspected: true},
    {
      name: 'found no connection',
      outcome: CallOutcome.UNREACHABLE,
      isSuspected: true,
    },
    {name: 'was abandoned', outcome: CallOutcome.ABANDONED, isSuspected: false},
    {name: 'was reset', outcome: CallOutcome.BROKEN, isSuspected: false},
    {
      name: 'was refused',
      outcome: CallOutcome.NOT_EXECUTED,
      isSuspected: false,
    },
  ]) {
    it(`${isSuspected ? 'suspects' : 'does not suspect'} a zone when each call ${name}`, async () => {
      servers.isReachable = false;
      for (const server of [FAR, OTHER_FAR]) {
        const ended = call(server);
        servers.answer(createFailure(outcome));
        await ended;
      }
      await advance(1000);
      const zones = isSuspected ? ['zone-b'] : [];
      expect(monitor.listUnreachable().zones).to.deep.equal(zones);
    });
  }

  it('counts each call once when its body is both dropped and abandoned', async () => {
    const begun = call(NEAR);
    servers.answer(createReply(createBody(3)));
    const reply = await begun;
    if (reply.kind !== 'reply') throw new Error(reply.reason);
    for await (const bytes of reply.body) {
      expect(bytes.length).to.equal(1);
      reply.drop();
      break;
    }
    void call(NEAR);
    await advance(450);
    expect(monitor.listUnreachable().serverIds).to.deep.equal(['near']);
  });

  it('notices that servers are reachable again when no request arrives any more', async () => {
    for (const server of [NEAR, FAR]) {
      const ended = call(server);
      servers.answer(createFailure(CallOutcome.SILENT));
      await ended;
    }
    expect(monitor.isCutOff()).to.equal(true);
    for (let ms = 0; ms < 10_000; ms += 1000) {
      await advance(1000);
      monitor.isCutOffForPeers();
    }
    expect(monitor.isCutOffForPeers()).to.equal(false);
    expect(servers.probes).to.equal(2);
  });

  it('stays cut off when the connection of an earlier call is reset', async () => {
    servers.isReachable = false;
    const earlier = call(NEAR);
    const later = [call(NEAR), call(FAR)];
    // The earlier call is still pending when the later ones fail.
    const [earliest, ...failing] = servers.takePending();
    for (const answer of failing)
      answer(createFailure(CallOutcome.UNREACHABLE));
    await Promise.all(later);
    expect(monitor.isCutOff()).to.equal(true);
    earliest?.(createFailure(CallOutcome.BROKEN));
    await earlier;
    expect(monitor.isCutOff()).to.equal(true);
    expect(monitor.listUnreachable().serverIds).to.include('near');
    servers.isReachable = true;
    await advance(300);
    expect(monitor.isCutOff()).to.equal(false);
    expect(monitor.isReachable(NEAR)).to.equal(true);
  });

  it('removes servers that no longer exist', async () => {
    const begun = call(FAR);
    servers.answer(createFailure(CallOutcome.SILENT));
    await begun;
    monitor.removeUnknownServers(() => false);
    await advance(1000);
    expect(monitor.listUnreachable().serverIds).to.deep.equal([]);
  });

  it('finds out that servers are reachable again after calls that were silent to the end', async () => {
    servers.isReachable = false;
    const ended = [call(NEAR), call(FAR)];
    await advance(450);
    monitor.listUnreachable();
    await advance(10);
    expect(monitor.isCutOff()).to.equal(true);
    servers.isReachable = true;
    await advance(300);
    expect(monitor.isCutOff()).to.equal(false);
    for (const pending of ended) {
      servers.answer(createFailure(CallOutcome.SILENT));
      await pending;
    }
    await request(4);
    expect(monitor.isCutOff()).to.equal(false);
    expect(monitor.isReachable(NEAR)).to.equal(true);
  });

  it('probes the servers while it is cut off', async () => {
    for (const server of [NEAR, FAR]) {
      const ended = call(server);
      servers.answer(createFailure(CallOutcome.SILENT));
      await ended;
    }
    expect(monitor.isCutOff()).to.equal(true);
    await request(4);
    expect(monitor.isCutOff()).to.equal(false);
  });
});
