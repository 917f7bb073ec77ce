import {ManualClock, ServingEvent} from '@savoryspur/common';
import {expect} from 'chai';
import type {PoolServer} from '../src/slots/pool_types.js';
import {ServerRules} from '../src/slots/server_rules.js';

describe('ServerRules', () => {
  let clock: ManualClock;
  let rules: ServerRules;
  let events: Array<{event: number; fields: Record<string, unknown>}>;

  function createServers(count: number): PoolServer[] {
    return Array.from({length: count}, (unused, index) => ({
      id: `s-${index}`,
      zone: 'z',
      softwareVersion: 'v1',
      slots: 8,
      coldUntilMs: 0,
    }));
  }

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    rules = new ServerRules(clock, {
      record: (event: number, fields: object = {}) => {
        events.push({event, fields: {...fields}});
      },
    });
  });

  /** Lists servers every second, as the owner does while there are requests. */
  async function list(
    rule: ReturnType<ServerRules['create']>,
    servers: readonly PoolServer[],
    seconds: number,
  ): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      rule.setServers(servers, clock.now());
      await clock.advance(1000);
    }
  }

  it('records that a server is paced, and counts it', async () => {
    const rule = rules.create('chat');
    await list(rule, createServers(3), 6);
    expect(rules.count('chat', 'paced')).to.equal(0);
    await list(rule, createServers(4), 1);
    expect(rules.count('chat', 'paced')).to.equal(1);
    expect(rules.count('chat', 'unknown')).to.equal(4);
    expect(rules.count('other', 'paced')).to.equal(0);
    expect(events).to.deep.equal([
      {
        event: ServingEvent.SERVER_PACE_BEGAN,
        fields: {peer: 's-3', pool: 'chat', cause: 'started'},
      },
    ]);
  });

  it('paces a server that has the id of an earlier process', async () => {
    const rule = rules.create('chat');
    const [first, ...others] = createServers(3);
    await list(rule, [{...first!, startedAtMs: 1}, ...others], 6);
    await list(rule, [{...first!, startedAtMs: 2}, ...others], 1);
    expect(events.map(({fields}) => fields.peer)).to.deep.equal(['s-0']);
  });

  it('paces no server of the lists that a new owner reads first', async () => {
    const rule = rules.create('chat');
    rule.setServers([], clock.now());
    await list(rule, createServers(3), 2);
    await list(rule, createServers(30), 1);
    // Another daemon owned the pool for a while.
    await clock.advance(10_000);
    await list(rule, createServers(40), 6);
    expect(events).to.deep.equal([]);
  });

  it('writes a bounded number of events when many servers start', async () => {
    const rule = rules.create('chat');
    await list(rule, createServers(500), 6);
    await list(rule, createServers(700), 1);
    expect(events).to.have.length(40);
    // The window of the first event is 10 s long.
    await list(rule, createServers(701), 9);
    expect(events).to.have.length(40);
    await list(rule, createServers(702), 1);
    expect(events).to.have.length(41);
    expect(events.at(-1)!.fields.omittedEvents).to.equal(161);
  });
});
