import {expect} from 'chai';
import {
  type Clock,
  ConfigEvent,
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SystemClock,
} from '@savoryspur/common';
import {type EngineOrder, OrderKind} from '@savoryspur/schema';
import {
  LeaseTaker,
  OrderExecutor,
  OrderStore,
  ReconcileEnd,
} from '../src/index.js';
import {MemoryEngine, MemoryEngineClient} from './memory_engine.js';
import {MemoryTable, TableFault} from './memory_platform.js';

const TERMS = {
  leaseMs: 3000,
  callMs: 1000,
  loadMs: 2000,
  lookMs: 1,
  loadPermits: 3,
};
const ENVIRONMENT = 'production';
const LOAD_1: EngineOrder = {
  kind: OrderKind.LOAD,
  model: 'plating',
  version: '1',
};
const LOAD_2 = {...LOAD_1, version: '2'};
const signal = new AbortController().signal;

/** Two hosts before engines in one table. */
function createHosts(clock: Clock, checksFencing: boolean, engines = 1) {
  const table = new MemoryTable();
  const client = new MemoryEngineClient();
  const log = new MemoryEventLog();
  const context = {table, clock, log, options: {maxAttempts: 5, retryMs: 0}};
  const store = new OrderStore(context);
  const targets = Array.from({length: engines}, (unused, n) => {
    const url = `http://127.0.0.1:${n + 1}`;
    client.engines.set(url, new MemoryEngine(checksFencing));
    const server = {id: `engine-${n}`, pool: 'p', zone: 'z', url};
    return {server, checksFencing};
  });
  const createExecutor = (host: string) =>
    new OrderExecutor({
      environment: ENVIRONMENT,
      store,
      leases: new LeaseTaker(context, host),
      client,
      clock,
      log,
      terms: TERMS,
    });
  const submit = async (order: EngineOrder, server = 'engine-0') => {
    const options = {environment: ENVIRONMENT, server, order, operator: 'ann'};
    return (await store.submit(options))._unsafeUnwrap();
  };
  const hosts = [createExecutor('h1'), createExecutor('h2')] as const;
  const getVersions = () =>
    [...client.engines.values()].map((e) => e.state.models[0]?.version);
  return {
    table,
    client,
    log,
    context,
    store,
    targets,
    submit,
    hosts,
    getVersions,
  };
}

/** A gate at which the first order waits until it is opened. */
function createGate(client: MemoryEngineClient) {
  let open = (): void => undefined;
  const opened = new Promise<void>((resolve) => (open = resolve));
  let reach = (): void => undefined;
  const reached = new Promise<void>((resolve) => (reach = resolve));
  client.checkLink = () => {
    client.checkLink = () => Promise.resolve();
    reach();
    return opened;
  };
  return {open: () => open(), reached};
}

describe('orders', () => {
  for (const checksFencing of [true, false]) {
    const kind = checksFencing ? 'that checks' : 'that does not check';
    it(`a paused executor that wakes cannot leave an engine ${kind} in the older state`, async () => {
      const clock = new ManualClock();
      const {client, submit, hosts, targets, getVersions, log} = createHosts(
        clock,
        checksFencing,
      );
      const [first, second] = hosts;
      const target = targets[0]!;
      const gate = createGate(client);
      const paused = first.run(target, await submit(LOAD_1), signal);
      await gate.reached;
      const newest = await submit(LOAD_2);
      const run = () => second.run(target, newest, signal);
      expect(await run()).to.equal(ReconcileEnd.BUSY);
      clock.advance(TERMS.leaseMs * 1.6);
      expect(await run()).to.equal(ReconcileEnd.IN_FORCE);
      expect(getVersions()).to.deep.equal(['2']);
      gate.open();
      const end = await paused;
      expect(end).to.equal(
        checksFencing ? ReconcileEnd.STALE : ReconcileEnd.BUSY,
      );
      expect(getVersions()).to.deep.equal([checksFencing ? '2' : '1']);
      expect(await run()).to.equal(ReconcileEnd.IN_FORCE);
      expect(getVersions()).to.deep.equal(['2']);
      const repairs = log.records.filter(
        ({event}) => event === ConfigEvent.ENGINE_DRIFT_CORRECTED,
      );
      expect(repairs).to.have.length(checksFencing ? 0 : 1);
    });
  }

  it('racing operators leave the engine in the newest state of the table', async () => {
    const {submit, hosts, targets, store, getVersions} = createHosts(
      new SystemClock(),
      false,
    );
    await Promise.all([submit(LOAD_1), submit(LOAD_2)]);
    const rows = (await store.read(ENVIRONMENT, ['engine-0']))._unsafeUnwrap();
    const row = rows.get('engine-0')!;
    await Promise.all(hosts.map((host) => host.run(targets[0]!, row, signal)));
    expect(getVersions()).to.deep.equal([row.desired.models[0]?.version]);
  });

  it('gives an operator with an old fencing number a conflict', async () => {
    const {store, submit} = createHosts(new SystemClock(), true);
    const {fencing} = await submit(LOAD_1);
    await submit(LOAD_2);
    const late = await store.submit({
      environment: ENVIRONMENT,
      server: 'engine-0',
      order: LOAD_1,
      operator: 'bob',
      baseFencing: fencing,
    });
    expect(late._unsafeUnwrapErr().code).to.equal(ErrorCode.CONFLICT);
  });

  it('takes an order as given when its answer or the answer of the engine is lost', async () => {
    const {table, client, submit, hosts, targets, getVersions} = createHosts(
      new SystemClock(),
      true,
    );
    table.faults = [TableFault.REPLY_LOST];
    client.isReplyLost = true;
    const row = await submit(LOAD_1);
    const end = await hosts[0].run(targets[0]!, row, signal);
    expect(end).to.equal(ReconcileEnd.IN_FORCE);
    expect(getVersions()).to.deep.equal(['1']);
    expect([...client.engines.values()][0]?.applied).to.have.length(1);
  });

  it('raises the fencing number of an engine that has the state already', async () => {
    const {client, submit, hosts, targets} = createHosts(
      new SystemClock(),
      true,
    );
    const engine = [...client.engines.values()][0]!;
    engine.state.models = [{name: 'plating', version: '1'}];
    const row = await submit(LOAD_1);
    await hosts[0].run(targets[0]!, row, signal);
    expect(engine.state.fencing).to.equal(row.fencing);
    expect(engine.apply(row.fencing - 1, LOAD_2).applied).to.equal(false);
  });

  it('lets all hosts together load no more models than there are permits', async () => {
    const {client, submit, hosts, targets, getVersions} = createHosts(
      new SystemClock(),
      false,
      12,
    );
    let loading = 0;
    let most = 0;
    client.checkLink = async () => {
      loading += 1;
      most = Math.max(most, loading);
      await new Promise((resolve) => setTimeout(resolve, 2));
      loading -= 1;
    };
    const rows = await Promise.all(
      targets.map((target) => submit(LOAD_1, target.server.id)),
    );
    while (getVersions().includes(undefined)) {
      await Promise.all(
        targets.map((target, n) => hosts[n % 2]!.run(target, rows[n]!, signal)),
      );
    }
    expect(most).to.equal(TERMS.loadPermits);
  });

  it('counts a lease from before it was written, and lets nobody take it before', async () => {
    const clock = new ManualClock();
    const {context} = createHosts(clock, false);
    const first = new LeaseTaker(context, 'h1');
    const second = new LeaseTaker(context, 'h2');
    const held = await first.acquire('k', 1000);
    expect(await second.acquire('k', 1000)).to.equal(undefined);
    clock.advance(1000);
    expect(held?.computeRemaining()).to.equal(0);
    expect(await second.acquire('k', 1000)).to.equal(undefined);
    clock.advance(501);
    expect(await second.acquire('k', 1000)).not.to.equal(undefined);
    expect(await held?.renew()).to.equal(false);
  });
});
