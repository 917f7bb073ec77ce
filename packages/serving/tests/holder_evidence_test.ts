import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import {HolderEvidence} from '../src/slots/holder_evidence.js';

const {
  ABANDONED,
  BROKEN,
  FAILED,
  NOT_EXECUTED,
  SILENT,
  SUCCEEDED,
  UNREACHABLE,
} = CallOutcome;

/** Age up to which a success shows that a server works, milliseconds. */
const SUCCESS_AGE_MS = 300;

describe('HolderEvidence', () => {
  let evidence: HolderEvidence;
  let nowMs: number;

  beforeEach(() => {
    evidence = new HolderEvidence();
    nowMs = 10_000;
  });

  /** Records a call that was granted just before it ended, or earlier. */
  function record(
    serverId: string,
    holder: string,
    outcome: CallOutcome,
    durationMs = 0,
  ): boolean {
    return evidence.record(
      serverId,
      holder,
      outcome,
      nowMs - durationMs,
      nowMs,
    );
  }

  for (const outcome of [BROKEN, SILENT, UNREACHABLE]) {
    it(`takes a first failure for the server's: ${outcome}`, () => {
      expect(record('a', 'host-1', outcome)).to.equal(true);
      expect(record('a', 'host-1', outcome)).to.equal(true);
    });

    it(`doubts a holder that fails at two servers: ${outcome}`, () => {
      record('a', 'host-1', outcome);
      expect(record('b', 'host-1', outcome)).to.equal(false);
      expect(record('a', 'host-1', outcome)).to.equal(false);
    });

    it(`doubts a holder while another has just succeeded at the server: ${outcome}`, () => {
      record('a', 'host-2', SUCCEEDED);
      nowMs += SUCCESS_AGE_MS - 1;
      expect(record('a', 'host-1', outcome)).to.equal(false);
    });

    it(`doubts a holder while another has succeeded during its call: ${outcome}`, () => {
      nowMs += 1000;
      record('a', 'host-2', SUCCEEDED);
      nowMs += 1000;
      expect(record('a', 'host-1', outcome, 1500)).to.equal(false);
    });

    it(`takes a failure for the server's after older successes of others: ${outcome}`, () => {
      record('a', 'host-2', SUCCEEDED);
      nowMs += SUCCESS_AGE_MS;
      expect(record('a', 'host-1', outcome)).to.equal(true);
    });
  }

  for (const outcome of [FAILED, NOT_EXECUTED, ABANDONED]) {
    it(`doubts no answer of a server: ${outcome}`, () => {
      record('a', 'host-2', SUCCEEDED);
      record('b', 'host-1', SILENT);
      record('c', 'host-1', SILENT);
      expect(record('a', 'host-1', outcome)).to.equal(true);
    });
  }

  it('judges holders by themselves', () => {
    record('a', 'host-1', SILENT);
    record('b', 'host-1', SILENT);
    expect(record('c', 'host-2', SILENT)).to.equal(true);
  });

  it('takes failures for the servers when all holders fail at one server only', () => {
    for (const holder of ['host-1', 'host-2', 'host-3'])
      expect(record('a', holder, UNREACHABLE)).to.equal(true);
  });

  it('does not doubt a holder by its own successes at the server', () => {
    record('a', 'host-1', SUCCEEDED);
    expect(record('a', 'host-1', BROKEN)).to.equal(true);
  });

  it('trusts a holder again after its next success', () => {
    record('a', 'host-1', SILENT);
    record('b', 'host-1', SILENT);
    record('c', 'host-1', SUCCEEDED);
    expect(record('a', 'host-1', SILENT)).to.equal(true);
    expect(record('b', 'host-1', SILENT)).to.equal(false);
  });

  it('forgets holders that are dropped', () => {
    record('a', 'host-1', SILENT);
    record('b', 'host-1', SILENT);
    record('c', 'host-1', SUCCEEDED);
    record('a', 'host-1', SILENT);
    evidence.dropHolder('host-1');
    expect(record('b', 'host-1', SILENT)).to.equal(true);
    expect(record('c', 'host-2', SILENT)).to.equal(true);
  });

  it('forgets the successes at servers that are gone', () => {
    record('a', 'host-2', SUCCEEDED);
    record('b', 'host-2', SUCCEEDED);
    evidence.keepOnly(new Set(['b']));
    expect(record('a', 'host-1', SILENT)).to.equal(true);
  });

  it('counts no failing servers that are gone', () => {
    record('a', 'host-1', UNREACHABLE);
    evidence.keepOnly(new Set(['b']));
    expect(record('b', 'host-1', UNREACHABLE)).to.equal(true);
  });
});
