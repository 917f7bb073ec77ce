import {
  SHORT_TIMEOUT_SETTINGS,
  Site,
  SITE_MODEL,
  SITE_WORKSPACES,
  startLoad,
} from '@savoryspur/proofs';
import {SystemClock} from '@savoryspur/common';
import {
  type EngineProcess,
  type FaultSettings,
  LoadGenerator,
  LoadOutcome,
  type LoadReport,
} from '@savoryspur/testkit';
import type {EngineFaults} from '@savoryspur/schema';
import {expect} from 'chai';

/** Seed of the arrivals and of the injected faults. */
const SEED = 10;

/** Duration of the load, milliseconds. */
const LOAD_DURATION_MS = 4000;

/** Faults that the engines inject, each with its probability for a request. */
const FAULTS: FaultSettings<EngineFaults> = {
  late: {probability: 0.05},
  lateMs: 300,
  crossed: {probability: 0.05},
  crossedEvent: {probability: 0.05},
  truncated: {probability: 0.05},
  duplicated: {probability: 0.05},
  stalled: {probability: 0.02},
  reset: {probability: 0.05},
  seed: SEED,
};

/** Outcomes that no request of a caller may have. */
const FORBIDDEN_OUTCOMES = [LoadOutcome.WRONG, LoadOutcome.TRUNCATED];

describe('point 10: each caller gets its own complete answer', () => {
  let site: Site;

  before(async () => {
    site = await Site.start({
      zones: ['langley', 'abbotsford'],
      hostsPerZone: 1,
      enginesPerZone: 2,
      servicesPerZone: 0,
      engineArgs: {warm: true},
      settings: {
        ...SHORT_TIMEOUT_SETTINGS,
        timeouts: {
          ...SHORT_TIMEOUT_SETTINGS.timeouts,
          betweenBytesMs: 600,
          firstByteMs: 1500,
        },
      },
      hasProxies: true,
    });
    for (const engine of site.standIns.engines) await engine.setFaults(FAULTS);
  });

  after(() => site?.stop());

  /** Sums the faults that the engines have injected so far, by kind. */
  async function sumFaults(): Promise<Record<string, number>> {
    const sums: Record<string, number> = {};
    for (const engine of site.standIns.engines) {
      const {faults} = await engine.getStats();
      for (const [name, count] of Object.entries(faults)) {
        sums[name] = (sums[name] ?? 0) + Number(count);
      }
    }
    return sums;
  }

  for (const isStreamed of [true, false]) {
    it(`holds for ${isStreamed ? 'streamed' : 'non-streamed'} answers`, async () => {
      const load = startLoad(site, {
        seed: SEED + Number(isStreamed),
        ratePerSecond: 60,
        isStreamed,
      });
      await new Promise((resolve) => setTimeout(resolve, LOAD_DURATION_MS));
      const report = await load.stop();
      console.log(
        `seed ${SEED}: ${JSON.stringify(report.describe())} faults ${JSON.stringify(await sumFaults())}`,
      );
      for (const outcome of FORBIDDEN_OUTCOMES) {
        expect(report.count(outcome), outcome).to.equal(0);
      }
      expect(report.count(LoadOutcome.COMPLETE)).to.be.greaterThan(0);
    });
  }

  it('control: a direct caller of an engine gets forbidden outcomes', async () => {
    const injected = await sumFaults();
    for (const name of ['crossed', 'crossedEvent', 'truncated']) {
      expect(injected[name] ?? 0, `faults of kind ${name}`).to.be.greaterThan(
        0,
      );
    }
    const engine = site.standIns.engines[0]!;
    const report = await runDirectLoad(engine);
    for (const outcome of FORBIDDEN_OUTCOMES) {
      expect(report.count(outcome), outcome).to.be.greaterThan(0);
    }
  });
});

/** Sends load directly to an engine, without a daemon in between. */
function runDirectLoad(engine: EngineProcess): Promise<LoadReport> {
  const load = new LoadGenerator(
    {
      urls: [engine.url],
      key: SITE_WORKSPACES[0]!.secret,
      model: SITE_MODEL,
      ratePerSecond: 60,
      durationMs: LOAD_DURATION_MS,
      seed: SEED,
      timeoutMs: 3000,
    },
    new SystemClock(),
  );
  return load.run();
}
