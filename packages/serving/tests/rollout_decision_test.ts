import {expect} from 'chai';
import {
  RolloutVerdict,
  decideRollout,
  type RolloutView,
} from '../src/rollout/rollout_decision.js';
import {RolloutEvidence} from '../src/rollout/rollout_evidence.js';
import {
  Fault,
  GeneratedRollout,
  ServerFault,
  type Generated,
} from './support/generated_rollout.js';

/** Seeds of each kind of version; docs/design/rollouts.md has the counts over 1,000. */
const SEEDS = Number(process.env.ROLLOUT_SEEDS ?? 20);

/** Time after the 50th bad answer within which a rollout has to be rolled back, milliseconds. */
const ROLL_BACK_MS = 2_000;

/** Bad answers after which a version must not be completed: a tenth of the about 75 answers that the slowest generated rollout gives a version in its shortest time. */
const VISIBLE_BAD_ANSWERS = 8;

describe('decideRollout on generated versions', () => {
  /** Lists the outcomes of all seeds. */
  function listOutcomes(generated: Generated) {
    const seeds = Array.from({length: SEEDS}, (unused, index) => index + 1);
    return seeds.map((seed) => ({
      seed,
      ...new GeneratedRollout(generated, seed).run(),
    }));
  }

  for (const serverFault of Object.values(ServerFault)) {
    it(`doesn't roll back a good version because of servers: ${serverFault}`, () => {
      const outcomes = listOutcomes({
        fault: Fault.NONE,
        isSlow: false,
        serverFault,
      });
      const wrong = outcomes.filter(
        ({verdict}) => verdict === RolloutVerdict.ROLL_BACK,
      );
      expect(wrong).to.deep.equal([]);
    });
  }

  for (const fault of Object.values(Fault)) {
    if (fault === Fault.NONE) continue;
    for (const isSlow of [false, true]) {
      for (const serverFault of [ServerFault.NONE, ServerFault.MIXED]) {
        const kind = `${isSlow ? 'slow' : 'failing'} ${fault}, servers: ${serverFault}`;
        it(`rolls back in time and never completes a bad version: ${kind}`, () => {
          const outcomes = listOutcomes({fault, isSlow, serverFault});
          const wrong = outcomes.filter(
            ({verdict, badAnswers, fiftiethMs, endMs}) =>
              (fiftiethMs !== undefined &&
                (verdict !== RolloutVerdict.ROLL_BACK ||
                  endMs > fiftiethMs + ROLL_BACK_MS)) ||
              (verdict === RolloutVerdict.COMPLETE &&
                badAnswers > VISIBLE_BAD_ANSWERS),
          );
          expect(wrong).to.deep.equal([]);
        });
      }
    }
  }
});

describe('decideRollout', () => {
  const NOW_MS = 20_000;
  const ORDER_MS = 10_000;
  const SERVERS = ['a', 'b', 'c', 'd'];
  let evidence: RolloutEvidence;
  let view: RolloutView;

  beforeEach(() => {
    evidence = new RolloutEvidence();
    view = {
      target: 'v2',
      startedMs: ORDER_MS,
      deadlineMs: ORDER_MS + 30_000,
      nowMs: NOW_MS,
      hasTargetServers: true,
      hasTraffic: true,
    };
  });

  /** Records calls to the servers of a version by turns, of which one in some is bad. */
  function record(
    softwareVersion: string,
    calls: number,
    badEvery = Infinity,
    {
      route = 'chat',
      atMs = NOW_MS - 500,
      servers = SERVERS,
      firstEventMs = 50,
    } = {},
  ): void {
    for (let call = 1; call <= calls; call += 1) {
      evidence.record(
        {
          route,
          softwareVersion,
          serverId: `${softwareVersion}-${servers[call % servers.length]}`,
          isBad: call % badEvery === 0,
          firstEventMs,
        },
        atMs,
      );
    }
  }

  const decide = () => decideRollout(evidence, view).kind;

  it('keeps while a route with traffic has fewer than 30 answers of the target', () => {
    record('v1', 2_000);
    record('v1', 1_000, Infinity, {route: 'search'});
    record('v2', 100);
    record('v2', 29, Infinity, {route: 'search'});
    expect(decide()).to.equal(RolloutVerdict.KEEP);
    record('v2', 1, Infinity, {route: 'search'});
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
  });

  it('completes without answers on a route with hardly any traffic', () => {
    record('v1', 2_000);
    record('v2', 100);
    record('v1', 5, Infinity, {route: 'rare'});
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
  });

  it('completes without any traffic, but not without servers of the target', () => {
    view.hasTraffic = false;
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
    view.hasTargetServers = false;
    expect(decide()).to.equal(RolloutVerdict.KEEP);
  });

  it('keeps with traffic of which the target has answered nothing', () => {
    expect(decide()).to.equal(RolloutVerdict.KEEP);
    record('v1', 10);
    expect(decide()).to.equal(RolloutVerdict.KEEP);
  });

  it('neither rolls back nor completes failures that it can compare with nothing', () => {
    record('v2', 100, 3);
    expect(decide()).to.equal(RolloutVerdict.KEEP);
  });

  it('compares with the time before the order when the old version answers nothing', () => {
    record('v1', 100, Infinity, {atMs: ORDER_MS - 3_000});
    record('v2', 100, 3);
    expect(decide()).to.equal(RolloutVerdict.ROLL_BACK);
  });

  it("doesn't roll back for failures that the old version has at the same time", () => {
    record('v1', 2_000, 3);
    record('v2', 100, 3);
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
  });

  // After a restart of all daemons both versions answer slowly for a while.
  it("doesn't roll back for slow answers that the old version has at the same time", () => {
    const slow = {firstEventMs: 250, atMs: NOW_MS - 1_500};
    record('v1', 2_000, Infinity, {atMs: NOW_MS - 5_000});
    record('v1', 60, Infinity, slow);
    record('v2', 12, Infinity, slow);
    expect(decide()).to.equal(RolloutVerdict.KEEP);
    record('v2', 40);
    record('v1', 1_000);
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
  });

  it('rolls back for answers that are slow at the same time as fast ones of the old version', () => {
    record('v1', 2_000);
    record('v2', 30, Infinity, {firstEventMs: 250});
    expect(decide()).to.equal(RolloutVerdict.ROLL_BACK);
  });

  // Servers that are slow by themselves fitted no degree of a slow version.
  it('rolls back a slow version of which two of four servers are slow by themselves', () => {
    record('v1', 2_000);
    record('v2', 60, Infinity, {servers: ['a', 'b'], firstEventMs: 190});
    record('v2', 30, Infinity, {servers: ['c'], firstEventMs: 700});
    record('v2', 30, Infinity, {servers: ['d'], firstEventMs: 900});
    expect(decide()).to.equal(RolloutVerdict.ROLL_BACK);
  });

  it("doesn't roll back a good version of which two of four servers are slow", () => {
    record('v1', 2_000);
    record('v2', 60, Infinity, {servers: ['a', 'b']});
    record('v2', 30, Infinity, {servers: ['c'], firstEventMs: 190});
    record('v2', 30, Infinity, {servers: ['d'], firstEventMs: 240});
    expect(decide()).not.to.equal(RolloutVerdict.ROLL_BACK);
  });

  it("doesn't roll back for failures of one of four servers", () => {
    record('v1', 2_000);
    record('v2', 300);
    record('v2', 100, 1, {servers: ['a']});
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
  });

  it('rolls back a target with a single server that fails everything', () => {
    record('v1', 2_000);
    record('v2', 30, 1, {servers: ['a']});
    expect(decide()).to.equal(RolloutVerdict.ROLL_BACK);
  });

  it('rolls back a version that turns bad after it could have completed', () => {
    record('v2', 1_000, Infinity, {atMs: ORDER_MS + 1_000});
    record('v1', 20_000);
    expect(decide()).to.equal(RolloutVerdict.COMPLETE);
    record('v2', 20, 1);
    const decision = decideRollout(evidence, view);
    expect(decision).to.deep.equal({
      kind: RolloutVerdict.ROLL_BACK,
      reason:
        'route chat: 20 of 20 answers failed, at most 0.2 expected in 6 s',
    });
  });

  it('judges a version by restored evidence', () => {
    record('v1', 2_000);
    record('v2', 100, 5);
    evidence = RolloutEvidence.restore(
      JSON.parse(JSON.stringify(evidence.encode(view))),
    );
    expect(decide()).to.equal(RolloutVerdict.ROLL_BACK);
    // A new order doesn't go on from the evidence of the former one.
    evidence.dropRestored();
    expect(decide()).to.equal(RolloutVerdict.KEEP);
  });
});
