/** Tests of the outcome checker, the rate checker and the replay of traces. */
import {ManualClock} from '@savoryspur/common';
import {expect} from 'chai';
import {
  buildPrompt,
  computeAnswer,
  computeRateExcess,
  createHttpHandlers,
  formatTrace,
  listViolations,
  ManualTraceTime,
  OutcomeChecker,
  parseTrace,
  replayTrace,
  StandIns,
  type TraceTime,
} from '../src/index.js';

function createItem(customId: string) {
  const body = {messages: [{role: 'user', content: `lot ${customId}`}]};
  return {customId, body};
}

function createLine(customId: string, answered = customId): string {
  const text = computeAnswer(buildPrompt(createItem(answered).body));
  const body = {choices: [{message: {content: text}}]};
  return JSON.stringify({
    custom_id: customId,
    response: {status_code: 200, body},
  });
}

const FAILED = JSON.stringify({custom_id: 'b', response: {status_code: 500}});

describe('outcome checker', () => {
  const cases: Array<[string, string[], string[]]> = [
    ['right', [createLine('a'), createLine('b')], []],
    ['failed', [createLine('a'), FAILED], []],
    ['missing', [createLine('a')], ['missing: b']],
    [
      'doubled',
      [createLine('a'), createLine('a'), createLine('b')],
      ['doubled: a'],
    ],
    ['wrong', [createLine('a', 'b'), createLine('b')], ['wrong: a']],
    [
      'unexpected',
      [createLine('a'), createLine('b'), createLine('c')],
      ['unexpected: c'],
    ],
  ];
  for (const [name, lines, violations] of cases) {
    it(`finds outcomes that are ${name}`, () => {
      const checker = new OutcomeChecker();
      checker.add('j', [createItem('a'), createItem('b')]);
      const report = checker.check('j', lines.join('\n'));
      expect(listViolations(report)).to.deep.equal(violations);
    });
  }

  it('finds outcomes that changed between two checks', () => {
    const checker = new OutcomeChecker();
    checker.add('j', [createItem('b')]);
    checker.check('j', FAILED);
    const report = checker.check('j', createLine('b'));
    expect(listViolations(report)).to.deep.equal(['changed: b']);
  });
});

describe('computeRateExcess', () => {
  const cases: Array<[string, number[], number]> = [
    ['a burst', [0, 0, 0], 0],
    ['a burst and one more', [0, 0, 0, 0], 1],
    ['a burst and the rate', [0, 0, 0, 100, 200, 300], 0],
    ['a late burst', [0, 1000, 1000, 1000, 1000, 1001], 1.99],
    ['less than the rate', [300, 0, 600], -2],
  ];
  for (const [name, timesMs, excess] of cases) {
    it(`finds the worst window of ${name}`, () => {
      const found = computeRateExcess(timesMs, {rate: 10, burst: 3});
      expect(found).to.be.closeTo(excess, 1e-9);
    });
  }
});

describe('traces', () => {
  it('replays on a manual clock', async () => {
    const clock = new ManualClock();
    let isExpired = false;
    void clock.sleep(100).then(() => (isExpired = true));
    const steps = parseTrace(
      [
        '# a lease of 100 ms',
        '{"atMs":50,"actor":"a","action":"read","expected":{"isExpired":false}}',
        '{"atMs":150,"actor":"a","action":"read","expected":{"isExpired":true}}',
        '{"atMs":151,"actor":"a","action":"read","expected":{"isExpired":false}}',
      ].join('\n'),
    );
    const handlers = {read: () => ({isExpired, more: 1})};
    const time = new ManualTraceTime(clock);
    const mismatches = await replayTrace(steps, handlers, time);
    expect(mismatches.map((mismatch) => mismatch.step)).to.deep.equal([3]);
    expect(parseTrace(formatTrace(steps))).to.deep.equal(steps);
  });

  it('names the line and field of an invalid step', () => {
    const parse = () => parseTrace('\n{"atMs":"x","actor":"a","action":"b"}');
    expect(parse).to.throw('line 2').with.property('message').match(/atMs/);
  });

  it('replays over HTTP', async () => {
    const standIns = await StandIns.start();
    const key = {key: 'a', version: 0};
    const input = {
      path: '/v1/table/transact',
      body: {conditions: [key], writes: [{key: 'a', value: {}}]},
    };
    const post = {atMs: 0, actor: 'w', action: 'post', input};
    const steps = parseTrace(
      formatTrace([
        {...post, expected: {status: 200, body: {committed: true}}},
        {...post, expected: {status: 200, body: {committed: false}}},
        {...post, action: 'unknown', expected: {status: 200}},
      ]),
    );
    const time: TraceTime = {waitUntil: () => Promise.resolve()};
    const handlers = createHttpHandlers(() => standIns.platform.url);
    const mismatches = await replayTrace(steps, handlers, time);
    await standIns.stop();
    expect(mismatches.map((mismatch) => mismatch.step)).to.deep.equal([3]);
  });
});
