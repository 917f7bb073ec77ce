import {ServingEvent} from '@savoryspur/common';
import {expect} from 'chai';
import {FailureKind, findFailures, type LogLine, main} from '../src/index.js';

/** Creates a log line of request `r` on `host-a`. */
function createLine(event: number, fields: Record<string, unknown>): LogLine {
  return {
    time: '2026-01-01T00:00:00.000Z',
    event,
    text: 'text',
    host: 'host-a',
    requestId: 'r',
    ...fields,
  };
}

/** Line of a call to a backend server that broke off. */
const BROKEN_CALL = createLine(ServingEvent.REQUEST_ATTEMPT_FAILED, {
  outcome: 'broken',
});

describe('savoryspur failures', () => {
  for (const {name, lines, kind, cause} of [
    {
      name: 'a refusal',
      lines: [
        createLine(ServingEvent.REQUEST_REFUSED, {
          code: 'not_run',
          reason: 'no place (8 of 8 places used, 3 waiting)',
        }),
      ],
      kind: FailureKind.REFUSED,
      cause: 'not_run: no place',
    },
    {
      name: 'a refusal without a reason',
      lines: [createLine(ServingEvent.REQUEST_REFUSED, {code: 'not_run'})],
      kind: FailureKind.REFUSED,
      cause: undefined,
    },
    {
      name: 'a failed call',
      lines: [
        BROKEN_CALL,
        createLine(ServingEvent.REQUEST_FAILED, {code: 'broken', reason: 'x'}),
      ],
      kind: FailureKind.FAILED,
      cause: 'broken: call to a server ended broken',
    },
    {
      name: 'a late answer to a request that waited for a slot',
      lines: [
        createLine(ServingEvent.REQUEST_ANSWERED, {
          isLate: true,
          calls: 1,
          waitedMs: 300,
          firstByteMs: 400,
        }),
      ],
      kind: FailureKind.LATE,
      cause: 'waited for a place',
    },
    {
      name: 'a late answer of a slow server',
      lines: [
        createLine(ServingEvent.REQUEST_ANSWERED, {
          isLate: true,
          calls: 1,
          waitedMs: 3,
          firstByteMs: 400,
        }),
      ],
      kind: FailureKind.LATE,
      cause: 'the server was slow to answer',
    },
    {
      name: 'a late answer after several calls without a line of a failed call',
      lines: [
        createLine(ServingEvent.REQUEST_ANSWERED, {isLate: true, calls: 2}),
      ],
      kind: FailureKind.LATE,
      cause: undefined,
    },
    {
      name: 'a request that its caller abandoned',
      lines: [createLine(ServingEvent.REQUEST_ABANDONED, {calls: 0})],
      kind: FailureKind.ABANDONED,
      cause: 'left while it waited for a place',
    },
    {
      name: 'a dead-lettered item',
      lines: [
        createLine(ServingEvent.ITEM_DEAD_LETTERED, {reason: '3 runs failed'}),
      ],
      kind: FailureKind.DEAD_LETTERED,
      cause: '3 runs failed',
    },
    {
      name: 'a request without a final event',
      lines: [BROKEN_CALL],
      kind: FailureKind.UNFINISHED,
      cause: undefined,
    },
  ]) {
    it(`finds the cause of ${name}`, () => {
      expect(findFailures(lines)).to.deep.equal([
        {requestId: 'r', host: 'host-a', kind, cause},
      ]);
    });
  }

  it('leaves out requests that were served in time', () => {
    const lines = [
      createLine(ServingEvent.REQUEST_ANSWERED, {isLate: false, calls: 1}),
    ];
    expect(findFailures(lines)).to.deep.equal([]);
  });

  it('expects no final event of a request whose daemon stopped', () => {
    const start = createLine(ServingEvent.PROCESS_STARTED, {
      time: '2026-01-01T00:00:01.000Z',
      requestId: undefined,
    });
    expect(findFailures([BROKEN_CALL, start])).to.deep.equal([]);
    const earlier = {...start, time: '2025-12-31T00:00:01.000Z'};
    expect(findFailures([earlier, BROKEN_CALL])).to.have.length(1);
  });

  it('names the field of a file that cannot be read', async () => {
    let errors = '';
    const code = await main(['failures', '/nonexistent/log'], {
      environment: {},
      print: () => undefined,
      printError: (part) => {
        errors += part;
      },
    });
    expect(code).not.to.equal(0);
    expect(errors).to.include('/nonexistent/log');
  });
});
