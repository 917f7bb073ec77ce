import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  RolloutEvidence,
  toCallEvidence,
  type CallEvidence,
} from '../src/rollout/rollout_evidence.js';

/** Bound of the encoded evidence of 8 routes, bytes: it is written about once a second. */
const MAX_ENCODED_BYTES = 8 * 1024;

const CALL = {route: 'chat', softwareVersion: 'v2', serverId: 'a'};

describe('toCallEvidence', () => {
  const times = {firstEventMs: 40, eventMs: 10};

  it('takes the times of an answer', () => {
    expect(toCallEvidence(CALL, CallOutcome.SUCCEEDED, times)).to.deep.equal({
      ...CALL,
      isBad: false,
      ...times,
    });
  });

  for (const outcome of [
    CallOutcome.FAILED,
    CallOutcome.BROKEN,
    CallOutcome.SILENT,
  ]) {
    it(`takes a call that may have run for bad, without its times: ${outcome}`, () => {
      expect(toCallEvidence(CALL, outcome, times)).to.deep.equal({
        ...CALL,
        isBad: true,
      });
    });
  }

  for (const outcome of [
    CallOutcome.UNREACHABLE,
    CallOutcome.NOT_EXECUTED,
    CallOutcome.WRONG_SERVER,
    CallOutcome.ABANDONED,
  ]) {
    it(`takes nothing from a call that did not run: ${outcome}`, () => {
      expect(toCallEvidence(CALL, outcome, times)).to.equal(undefined);
    });
  }
});

describe('RolloutEvidence', () => {
  /** Records an answer of each server of both versions on each route. */
  function recordAll(
    evidence: RolloutEvidence,
    routes: number,
    nowMs: number,
  ): void {
    for (let route = 0; route < routes; route += 1) {
      for (let server = 0; server < 24; server += 1) {
        for (const softwareVersion of ['release-2.14.0', 'release-2.15.0']) {
          const call: CallEvidence = {
            route: `route-of-some-length-${route}`,
            softwareVersion,
            serverId: `host-${server}.example:8000/${softwareVersion}`,
            isBad: (server + route) % 7 === 0,
            firstEventMs: 123.456,
            eventMs: 12.345,
          };
          evidence.record(call, nowMs);
        }
      }
    }
  }

  it('encodes 8 routes of 24 servers of each version in 8 KB', () => {
    const evidence = new RolloutEvidence();
    for (let second = 0; second < 200; second += 1) {
      for (let turn = 0; turn < 5; turn += 1) {
        recordAll(evidence, 8, second * 1_000 + turn);
      }
    }
    const text = JSON.stringify(
      evidence.encode({target: 'release-2.15.0', startedMs: 0}),
    );
    expect(Buffer.byteLength(text)).to.be.at.most(MAX_ENCODED_BYTES);
  });

  it('goes on from the counters and the answers that it has encoded', () => {
    const evidence = new RolloutEvidence();
    evidence.record({...CALL, isBad: true}, 1_000);
    evidence.record({...CALL, isBad: false, firstEventMs: 40}, 1_000);
    const encoded = evidence.encode({target: 'v2', startedMs: 0});
    const restored = RolloutEvidence.restore(
      JSON.parse(JSON.stringify(encoded)),
    );
    restored.record({...CALL, isBad: true}, 5_000_000);
    expect(restored.countAnswers('v2')).to.deep.equal({answers: 3, bad: 2});
    const answers = restored.collect(0, Infinity, true);
    const stats = answers.get('chat')?.get('v2')?.get('a');
    expect(stats).to.deep.include({calls: 3, bad: 2});
    expect(stats?.firstEvent.getMean()).to.be.closeTo(Math.log(40), 0.01);
  });

  it("leaves the target's answers before the order out of what it encodes", () => {
    const evidence = new RolloutEvidence();
    evidence.record({...CALL, isBad: true}, 1_000);
    const encoded = evidence.encode({target: 'v2', startedMs: 5_000});
    expect(encoded.target?.routes).to.deep.equal({});
  });

  it('drops answers after the retention time', () => {
    const evidence = new RolloutEvidence();
    evidence.record({...CALL, isBad: true}, 1_000);
    evidence.record({...CALL, isBad: false}, 130_000);
    const answers = evidence.collect(-Infinity, Infinity, true);
    expect(answers.get('chat')?.get('v2')?.get('a')?.calls).to.equal(1);
  });
});
