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
  LeaseClient,
  OrderExecutor,
  OrderStore,
  ReconcileOutcome,
} from '../src/index.js';
import {MemoryEngine, MemoryEngineClient} from './memory_engine.js';
import {MemoryTable, TableFault} from './memory_storage.js';

const LIMITS = {
  leaseTermMs: 3000,
  callTimeoutMs: 1000,
  loadTimeoutMs: 2000,
  statePollMs: 1,
  maxConcurrentLoads: 3,
};
const ENVIRONMENT = 'production';
const LOAD_1: EngineOrder = {
  kind: OrderKind.LOAD,
  model: 'plating',
  version: '1',
};
const LOAD_2 = {...LOAD_1, version: '2'};
const signal = new AbortController().signal;

/** Creates two hosts that reconcile the same engines through one table. */
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
      leases: new LeaseClient(context, host),
      client,
      clock,
      log,
      limits: LIMITS,
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

/** Creates a gate that holds the first order back until the gate is opened. */
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
    it(`restore the newest state of an engine ${kind} fencing tokens after a paused executor resumes`, async () => {
      const clock = new ManualClock();
      const {client, submit, hosts, targets, getVersions, log} = createHosts(
        clock,
        checksFencing,
      );
      const [first, second] = hosts;
      const target = targets[0]!;
      const gate = createGate(client);
      const paused = first.reconcile(target, await submit(LOAD_1), signal);
      await gate.reached;
      const newest = await submit(LOAD_2);
      const reconcile = () => second.reconcile(target, newest, signal);
      expect(await reconcile()).to.equal(ReconcileOutcome.BUSY);
      clock.advance(LIMITS.leaseTermMs * 1.6);
      expect(await reconcile()).to.equal(ReconcileOutcome.IN_FORCE);
      expect(getVersions()).to.deep.equal(['2']);
      gate.open();
      const end = await paused;
      expect(end).to.equal(
        checksFencing ? ReconcileOutcome.STALE : ReconcileOutcome.BUSY,
      );
      expect(getVersions()).to.deep.equal([checksFencing ? '2' : '1']);
      expect(await reconcile()).to.equal(ReconcileOutcome.IN_FORCE);
      expect(getVersions()).to.deep.equal(['2']);
      const driftCorrections = log.records.filter(
        ({event}) => event === ConfigEvent.ENGINE_DRIFT_CORRECTED,
      );
      expect(driftCorrections).to.have.length(checksFencing ? 0 : 1);
    });
  }

  it('bring an engine to the newest desired state when operators submit concurrently', async () => {
    const {submit, hosts, targets, store, getVersions} = createHosts(
      new SystemClock(),
      false,
    );
    await Promise.all([submit(LOAD_1), submit(LOAD_2)]);
    const rows = (await store.read(ENVIRONMENT, ['engine-0']))._unsafeUnwrap();
    const row = rows.get('engine-0')!;
    await Promise.all(
      hosts.map((host) => host.reconcile(targets[0]!, row, signal)),
    );
    expect(getVersions()).to.deep.equal([row.desired.models[0]?.version]);
  });

  it('are refused with a conflict when the operator names an old fencing token', async () => {
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

  it('are applied once when the answers of the table and of the engine are lost', async () => {
    const {table, client, submit, hosts, targets, getVersions} = createHosts(
      new SystemClock(),
      true,
    );
    table.faults = [TableFault.ANSWER_LOST];
    client.isAnswerLost = true;
    const row = await submit(LOAD_1);
    const end = await hosts[0].reconcile(targets[0]!, row, signal);
    expect(end).to.equal(ReconcileOutcome.IN_FORCE);
    expect(getVersions()).to.deep.equal(['1']);
    expect([...client.engines.values()][0]?.applied).to.have.length(1);
  });

  it('raise the fencing token of an engine that already has the desired state', async () => {
    const {client, submit, hosts, targets} = createHosts(
      new SystemClock(),
      true,
    );
    const engine = [...client.engines.values()][0]!;
    engine.state.models = [{name: 'plating', version: '1'}];
    const row = await submit(LOAD_1);
    await hosts[0].reconcile(targets[0]!, row, signal);
    expect(engine.state.fencing).to.equal(row.fencing);
    expect(engine.apply(row.fencing - 1, LOAD_2).applied).to.equal(false);
  });

  it('load no more models at the same time on all hosts than there are load permits', async () => {
    const {client, submit, hosts, targets, getVersions} = createHosts(
      new SystemClock(),
      false,
      12,
    );
    let loading = 0;
    let maxLoading = 0;
    client.checkLink = async () => {
      loading += 1;
      maxLoading = Math.max(maxLoading, loading);
      await new Promise((resolve) => setTimeout(resolve, 2));
      loading -= 1;
    };
    const rows = await Promise.all(
      targets.map((target) => submit(LOAD_1, target.server.id)),
    );
    while (getVersions().includes(undefined)) {
      await Promise.all(
        targets.map((target, n) =>
          hosts[n % 2]!.reconcile(target, rows[n]!, signal),
        ),
      );
    }
    expect(maxLoading).to.equal(LIMITS.maxConcurrentLoads);
  });

  it('count a lease term from before the write, and forbid a takeover before the margin has passed', async () => {
    const clock = new ManualClock();
    const {context} = createHosts(clock, false);
    const first = new LeaseClient(context, 'h1');
    const second = new LeaseClient(context, 'h2');
    const held = await first.acquire('k', 1000);
    expect(await second.acquire('k', 1000)).to.equal(undefined);
    clock.advance(1000);
    expect(held?.computeRemainingMs()).to.equal(0);
    expect(await second.acquire('k', 1000)).to.equal(undefined);
    clock.advance(501);
    expect(await second.acquire('k', 1000)).not.to.equal(undefined);
    expect(await held?.renew()).to.equal(false);
  });
});
