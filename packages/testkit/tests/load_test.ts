/** Tests of the load generator, which calls the engine directly. */
import {SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {
  EngineProcess,
  type FaultSettings,
  LoadGenerator,
  type LoadOptions,
  LoadOutcome,
  startStandIn,
} from '../src/index.js';
import type {EngineFaults} from '@savoryspur/schema';

const clock = new SystemClock();

describe('load generator', () => {
  let engine: EngineProcess;

  before(async () => {
    const args = {
      warm: true,
      'first-token-ms': 20,
      'between-tokens-ms': 2,
      'restart-ms': 0,
    };
    engine = await startStandIn(EngineProcess, 'engine_main', args, clock);
  });

  after(() => engine.stop());

  beforeEach(() => engine.adjust({firstTokenMs: 20}));

  const run = (options: Partial<LoadOptions> = {}) => {
    const load = {
      urls: [engine.url],
      model: 'm',
      ratePerSecond: 100,
      durationMs: 300,
      seed: 3,
      timeoutMs: 5000,
      ...options,
    };
    return new LoadGenerator(load, clock).run();
  };

  it('sends at seeded times and measures complete answers', async () => {
    const report = await run({maxTokens: 4});
    expect(report.countSent()).to.be.greaterThan(10);
    expect(report.count(LoadOutcome.COMPLETE)).to.equal(report.countSent());
    expect(report.betweenTokens.count()).to.equal(3 * report.countSent());
    expect(report.firstToken.computePercentile(0)).to.be.greaterThan(5);
    expect((await run({maxTokens: 4})).countSent()).to.equal(
      report.countSent(),
    );
  });

  it('sends on schedule while answers are slow', async () => {
    await engine.adjust({firstTokenMs: 300});
    await run({maxTokens: 1});
    expect((await engine.getStats()).maxRunning).to.be.greaterThan(10);
  });

  const cases: Array<[FaultSettings<EngineFaults>, boolean, LoadOutcome]> = [
    [{truncated: {next: 1}}, true, LoadOutcome.TRUNCATED],
    [{crossed: {next: 1}}, true, LoadOutcome.WRONG],
    [{crossedEvent: {next: 1}}, true, LoadOutcome.WRONG],
    [{duplicated: {next: 1}}, true, LoadOutcome.WRONG],
    [{reset: {next: 1}}, true, LoadOutcome.BROKEN],
    [{stalled: {next: 1}}, true, LoadOutcome.TIMED_OUT],
    [{refused: {next: 1}}, true, LoadOutcome.REFUSED],
    [{crossed: {next: 1}}, false, LoadOutcome.WRONG],
    [{truncated: {next: 1}}, false, LoadOutcome.BROKEN],
  ];
  for (const [faults, isStreamed, outcome] of cases) {
    const kind = Object.keys(faults).join();
    const form = isStreamed ? 'streamed' : 'non-streamed';
    it(`reports a ${kind} ${form} answer as ${outcome}`, async () => {
      await engine.setFaults(faults);
      const timeoutMs = kind === 'stalled' ? 4000 : 30_000;
      const report = await run({isStreamed, timeoutMs});
      expect(report.count(outcome)).to.equal(1);
      expect(report.count(LoadOutcome.COMPLETE)).to.equal(
        report.countSent() - 1,
      );
      expect(report.failures).to.have.length(1);
    });
  }
});
