import {expect} from 'chai';
import {ManualClock} from '@savoryspur/common';
import {BurnState, validateBurnReport} from '@savoryspur/schema';
import {
  collectReports,
  computeBurnReport,
  mergeReports,
  OTHER_WORKSPACE,
  renderBurnPage,
  renderBurnText,
  RequestOutcome,
  ServiceLevelRecorder,
} from '../src/index.js';

const OBJECTIVES = {firstTokenMs: 490, betweenTokensMs: 49};
const MINUTE_MS = 60_000;

function recordMany(
  recorder: ServiceLevelRecorder,
  workspace: string,
  count: number,
  outcome: RequestOutcome,
  firstTokenMs?: number,
): void {
  for (let n = 0; n < count; n++) {
    recorder.record({
      workspace,
      target: 'plating',
      outcome,
      objectives: OBJECTIVES,
      ...(firstTokenMs !== undefined && {firstTokenMs, betweenTokensMs: 20}),
    });
  }
}

function computeReport(recorders: ServiceLevelRecorder[]) {
  return computeBurnReport({
    report: mergeReports(recorders.map((recorder) => recorder.encode())),
    missingHosts: ['h9'],
    objectives: new Map([
      ['kitchens', 0.9],
      ['rangers', 0.95],
    ]),
    jobsAtRisk: [],
    generatedAt: new Date(0),
  });
}

describe('burn report', () => {
  it('merges the reports of hosts and computes burn rates over both windows', () => {
    const clock = new ManualClock();
    const first = new ServiceLevelRecorder('h1', clock);
    const second = new ServiceLevelRecorder('h2', clock);
    recordMany(first, 'kitchens', 60, RequestOutcome.ANSWERED, 100);
    recordMany(second, 'kitchens', 20, RequestOutcome.ANSWERED, 600);
    recordMany(second, 'kitchens', 5, RequestOutcome.REFUSED_RIGHTFUL);
    recordMany(first, 'rangers', 99, RequestOutcome.ANSWERED, 100);
    recordMany(first, 'rangers', 1, RequestOutcome.REFUSED_WRONGFUL);
    const report = computeReport([first, second]);
    const [worst, other] = report.rows;
    expect(report.worstWorkspace).to.equal('kitchens');
    expect(worst?.longBurn).to.be.closeTo(2.5, 1e-9);
    expect(worst?.state).to.equal(BurnState.BURNING);
    expect(worst?.counts.refusedRightful).to.equal(5);
    expect(other?.longBurn).to.be.closeTo(0.2, 1e-9);
    expect(report.wrongfulRefusals).to.equal(1);
    expect(report.targets[0]?.requests).to.equal(179);
    expect(report.targets[0]?.firstTokenP99Ms).to.be.closeTo(600, 6);
    expect(validateBurnReport(structuredClone(report)).isOk()).to.equal(true);
  });

  it('drops requests from the short window first, then from the long window', () => {
    const clock = new ManualClock();
    const recorder = new ServiceLevelRecorder('h1', clock);
    recordMany(recorder, 'kitchens', 10, RequestOutcome.FAILED);
    clock.advance(6 * MINUTE_MS);
    const [row] = computeReport([recorder]).rows;
    expect(row?.shortBurn).to.equal(0);
    expect(row?.state).to.equal(BurnState.SPENT);
    clock.advance(60 * MINUTE_MS);
    expect(computeReport([recorder]).rows).to.deep.equal([]);
  });

  it('counts further series together at the limit, and reuses idle series', () => {
    const clock = new ManualClock();
    const recorder = new ServiceLevelRecorder('h1', clock, {
      shortWindowMs: 5 * MINUTE_MS,
      longWindowMs: 60 * MINUTE_MS,
      maxSeries: 2,
    });
    for (const workspace of ['a', 'b', 'c', 'd']) {
      recordMany(recorder, workspace, 1, RequestOutcome.FAILED);
    }
    const names = () => recorder.encode().series.map((s) => s.workspace);
    expect(names()).to.deep.equal(['a', 'b', OTHER_WORKSPACE]);
    clock.advance(2 * 60 * MINUTE_MS);
    recordMany(recorder, 'e', 1, RequestOutcome.FAILED);
    expect(names()).to.deep.equal(['e']);
    recordMany(recorder, 'a', 1, RequestOutcome.FAILED);
    recordMany(recorder, 'f', 1, RequestOutcome.FAILED);
    expect(names()).to.deep.equal(['a', 'e', OTHER_WORKSPACE]);
  });

  it('encodes only series with bad requests, or all series of given workspaces', () => {
    const recorder = new ServiceLevelRecorder('h1', new ManualClock());
    recordMany(recorder, 'a', 1, RequestOutcome.ANSWERED, 100);
    recordMany(recorder, 'b', 1, RequestOutcome.FAILED);
    const list = (query: {onlyBad: boolean; workspaces?: string[]}) =>
      recorder.encode(query).series.map((series) => series.workspace);
    expect(list({onlyBad: true})).to.deep.equal(['b']);
    expect(list({onlyBad: false, workspaces: ['a']})).to.deep.equal(['a']);
  });

  it('collects all counts of workspaces with bad requests and lists missing hosts', async () => {
    const clock = new ManualClock();
    const recorders = new Map(
      ['h1', 'h2'].map((h) => [h, new ServiceLevelRecorder(h, clock)]),
    );
    recordMany(
      recorders.get('h1')!,
      'kitchens',
      9,
      RequestOutcome.ANSWERED,
      100,
    );
    recordMany(recorders.get('h2')!, 'kitchens', 1, RequestOutcome.FAILED);
    recordMany(
      recorders.get('h1')!,
      'rangers',
      5,
      RequestOutcome.ANSWERED,
      100,
    );
    const {report, missingHosts} = await collectReports({
      hosts: ['h1', 'h2', 'h3'],
      workspaceCount: 5800,
      fetchReport: async (host, query) => recorders.get(host)?.encode(query),
    });
    expect(missingHosts).to.deep.equal(['h3']);
    expect(report.series).to.have.length(1);
    expect(report.series[0]?.long).to.include({good: 9, error: 1});
    expect(report.latencies[0]?.target).to.equal('plating');
  });

  it('renders text, and a page that loads no external resources', () => {
    const recorder = new ServiceLevelRecorder('h1', new ManualClock());
    recordMany(recorder, '<kitchens>', 4, RequestOutcome.ANSWERED, 900);
    const report = computeReport([recorder]);
    expect(renderBurnText(report)).to.contain('Not counted, no answer: h9');
    const page = renderBurnPage(report);
    expect(page)
      .to.contain('&lt;kitchens&gt;')
      .and.not.to.contain('<kitchens>');
    expect(page).not.to.match(/(src|href)=|https?:/);
  });
});
