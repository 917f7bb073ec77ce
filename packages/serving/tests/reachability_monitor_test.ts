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
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
  };
}

const NEAR = createServer('near', 'zone-a');
const FAR = createServer('far', 'zone-b');
const FAR_TOO = createServer('far-too', 'zone-b');

/** Servers whose answers come when a test says so. */
class FakeServers implements ServerCaller {
  /** Whether connects succeed. */
  isOpen = true;
  probes = 0;
  readonly renewed: string[] = [];
  private readonly ends: Array<(reply: ServerReply | CallFailure) => void> = [];

  /** Waits for {@link answer}. */
  call(): Promise<ServerReply | CallFailure> {
    return new Promise((resolve) => this.ends.push(resolve));
  }

  /** Connects. */
  probe(): Promise<boolean> {
    this.probes += 1;
    return Promise.resolve(this.isOpen);
  }

  /** Notes the server. */
  replaceConnections(server: BackendServer): void {
    this.renewed.push(server.id);
  }

  /** Ends the oldest call. */
  answer(reply: ServerReply | CallFailure): void {
    this.ends.shift()?.(reply);
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
    body,
    drop: () => undefined,
  };
}

function createFailure(outcome: CallOutcome): CallFailure {
  return {kind: 'failure', outcome, reason: 'test'};
}

describe('ServerReach', () => {
  let clock: ManualClock;
  let servers: FakeServers;
  let reach: ReachabilityMonitor;

  beforeEach(() => {
    clock = new ManualClock();
    servers = new FakeServers();
    reach = new ReachabilityMonitor(servers, clock, new MemoryEventLog());
  });

  function call(server: BackendServer): Promise<ServerReply | CallFailure> {
    return reach.call({server} as ServerCall);
  }

  async function advance(ms: number): Promise<void> {
    clock.advance(ms);
    await new Promise(setImmediate);
  }

  it('avoids a zone of which nothing is heard, until a connect succeeds', async () => {
    servers.isOpen = false;
    void call(FAR);
    void call(FAR_TOO);
    await advance(150);
    expect(reach.listUnreachable().zones).to.deep.equal([]);
    await advance(100);
    expect(reach.listUnreachable().zones).to.deep.equal(['zone-b']);
    await advance(5000);
    expect(reach.listUnreachable().zones).to.deep.equal(['zone-b']);
    servers.isOpen = true;
    await advance(300);
    expect(reach.listUnreachable().zones).to.deep.equal([]);
  });

  it('does not avoid a zone while any of its servers is heard of', async () => {
    void call(FAR);
    void call(FAR_TOO);
    for (let ms = 0; ms < 390; ms += 130) {
      await advance(130);
      const ended = call(FAR_TOO);
      servers.answer(createReply(createBody(1)));
      servers.answer(createReply(createBody(1)));
      servers.answer(createReply(createBody(1)));
      await ended;
      expect(reach.listUnreachable().zones).to.deep.equal([]);
    }
  });

  it('avoids one server that is dark while its zone is not', async () => {
    servers.isOpen = false;
    void call(FAR);
    await advance(450);
    expect(reach.listUnreachable()).to.deep.equal({
      zones: [],
      serverIds: ['far'],
    });
  });

  it('uses new connections when connects succeed and open ones stay silent', async () => {
    void call(FAR);
    void call(FAR_TOO);
    await advance(250);
    reach.listUnreachable();
    await advance(10);
    expect(reach.listUnreachable().zones).to.deep.equal([]);
    expect(servers.renewed).to.deep.equal([]);
    await advance(250);
    reach.listUnreachable();
    expect(servers.renewed).to.include.members(['far', 'far-too']);
  });

  it('does not suspect again what was connected to and has no calls open', async () => {
    for (const server of [FAR, FAR_TOO]) {
      const ended = call(server);
      servers.answer(createFailure(CallOutcome.SILENT));
      await ended;
    }
    for (let ms = 0; ms < 5000; ms += 500) {
      await advance(500);
      reach.listUnreachable();
      await advance(10);
    }
    // One connect for the zone and one for each server.
    expect(servers.probes).to.equal(3);
    expect(servers.renewed).to.deep.equal([]);
  });

  it('counts a stream that falls silent after its first events', async () => {
    servers.isOpen = false;
    for (const server of [FAR, FAR_TOO]) {
      const begun = call(server);
      servers.answer(createReply(createBody(1)));
      const reply = await begun;
      if (reply.kind === 'reply') {
        await reply.body[Symbol.asyncIterator]().next();
      }
    }
    await advance(250);
    expect(reach.listUnreachable().zones).to.deep.equal(['zone-b']);
  });

  for (const {name, outcome, isAvoided} of [
    {name: 'was silent', outcome: CallOutcome.SILENT, isAvoided: true},
    {name: 'found no way', outcome: CallOutcome.UNREACHABLE, isAvoided: true},
    {name: 'was given up', outcome: CallOutcome.ABANDONED, isAvoided: false},
    {name: 'was reset', outcome: CallOutcome.BROKEN, isAvoided: false},
    {name: 'was refused', outcome: CallOutcome.NOT_EXECUTED, isAvoided: false},
  ]) {
    it(`${isAvoided ? 'suspects' : 'does not suspect'} what ${name}`, async () => {
      servers.isOpen = false;
      for (const server of [FAR, FAR_TOO]) {
        const ended = call(server);
        servers.answer(createFailure(outcome));
        await ended;
      }
      await advance(1000);
      const zones = isAvoided ? ['zone-b'] : [];
      expect(reach.listUnreachable().zones).to.deep.equal(zones);
    });
  }

  it('counts each call once, however its answer is given up', async () => {
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
    expect(reach.listUnreachable().serverIds).to.deep.equal(['near']);
  });

  it('forgets servers that are gone', async () => {
    const begun = call(FAR);
    servers.answer(createFailure(CallOutcome.SILENT));
    await begun;
    reach.keep(() => false);
    await advance(1000);
    expect(reach.listUnreachable().serverIds).to.deep.equal([]);
  });
});
