import {expect} from 'chai';
import {RouteKind} from '../src/environment.js';
import {ServingMetrics} from '../src/serving_metrics.js';

const CLASS = {kind: RouteKind.STREAMING, priority: 1};

describe('ServingMetrics', () => {
  let metrics: ServingMetrics;

  beforeEach(() => {
    metrics = new ServingMetrics();
  });

  for (const {name, record, series} of [
    {
      name: 'an answer on time from the same zone',
      record: {isLate: false, isOtherZone: false},
      series:
        'savoryspur_answers_total{kind="streaming",workspace_class="rank-1",server_zone="same",outcome="on_time"} 1',
    },
    {
      name: 'a late answer from another zone',
      record: {isLate: true, isOtherZone: true},
      series:
        'savoryspur_answers_total{kind="streaming",workspace_class="rank-1",server_zone="other",outcome="late"} 1',
    },
  ]) {
    it(`counts ${name}`, () => {
      metrics.recordAnswer({...CLASS, ...record, firstByteMs: 3, totalMs: 9});
      expect(metrics.render()).to.include(series);
      expect(metrics.render()).to.include('savoryspur_first_byte_ms_count');
    });
  }

  it('counts refusals with and without a known class', () => {
    metrics.recordRefusal('over_rate', CLASS);
    metrics.recordRefusal('no_route');
    const text = metrics.render();
    expect(text).to.include(
      'savoryspur_refusals_total{code="over_rate",kind="streaming",workspace_class="rank-1"} 1',
    );
    expect(text).to.include('savoryspur_refusals_total{code="no_route"} 1');
  });

  it('keeps the number of series bounded for any number of priorities', () => {
    for (let priority = -5; priority < 1000; priority++) {
      metrics.recordRefusal('not_run', {kind: RouteKind.IDEMPOTENT, priority});
    }
    expect(metrics.render().trim().split('\n')).to.have.length(10);
  });

  it('reports the staleness of state that was never confirmed as -1', () => {
    metrics.registerStaleness('servers', () => Infinity);
    metrics.registerStaleness('members', () => 12.4);
    const text = metrics.render();
    expect(text).to.include('savoryspur_belief_age_ms{belief="servers"} -1');
    expect(text).to.include('savoryspur_belief_age_ms{belief="members"} 12');
  });
});
