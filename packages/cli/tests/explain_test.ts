import {expect} from 'chai';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {findTimeline, main, parseLogLines} from '../src/index.js';

/**
 * Log of two daemons, not ordered by time: a status event, text that is not JSON,
 * lines of two requests, a status event after them and an incomplete line.
 */
const LOG = `  1.2 host-a {"time":"2026-01-01T00:00:01.000Z","level":"warn","event":8202,"text":"The owner does not answer.","host":"host-a","key":"places:s"}
noise
{"time":"2026-01-01T00:00:02.050Z","level":"info","event":8304,"text":"A request was answered.","host":"host-b","requestId":"r-1","calls":1}
{"time":"2026-01-01T00:00:02.000Z","level":"warn","event":8302,"text":"A request was refused before it ran.","host":"host-a","requestId":"r-1","reason":"no place"}
{"time":"2026-01-01T00:00:02.000Z","level":"warn","event":8302,"text":"Another.","host":"host-a","requestId":"r-2"}
{"time":"2026-01-01T00:00:09.000Z","level":"warn","event":8202,"text":"Later.","host":"host-a"}
{"time":"2026-01-01T00:00:03
`;

describe('savoryspur explain', () => {
  it('orders the lines of one request from several daemons by time', () => {
    const timeline = findTimeline('r-1', parseLogLines(LOG));
    expect(timeline.lines.map((line) => line.host)).to.deep.equal([
      'host-a',
      'host-b',
    ]);
    expect(timeline.context.map((line) => line.event)).to.deep.equal([8202]);
  });

  it('finds the lines of the items of a batch job by the id of the job', () => {
    const lines = parseLogLines(
      '{"time":"2026-01-01T00:00:02.000Z","event":8409,"text":"t","host":"h","requestId":"i","jobId":"j"}',
    );
    expect(findTimeline('j', lines).lines).to.have.length(1);
  });

  /** Runs the command line; returns its exit code and what it printed. */
  async function run(args: string[]) {
    let text = '';
    let errors = '';
    const code = await main(args, {
      environment: {},
      print: (part) => {
        text += part;
      },
      printError: (part) => {
        errors += part;
      },
    });
    return {code, text, errors};
  }

  it('prints the timeline from files, as text and as JSON', async () => {
    const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'explain-'));
    const file = path.join(dir, 'log');
    fs.writeFileSync(file, LOG);
    const printed = await run(['explain', 'r-1', file]);
    expect(printed.code).to.equal(0);
    expect(printed.text).to.include('host-a  A request was refused');
    expect(printed.text).to.include('reason="no place"');
    const json = await run(['explain', 'r-1', file, '--json']);
    expect(JSON.parse(json.text)).to.have.property('requestId', 'r-1');
  });

  it('reports an id that no line names', async () => {
    const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'explain-'));
    const file = path.join(dir, 'log');
    fs.writeFileSync(file, LOG);
    const printed = await run(['explain', 'r-9', file]);
    expect(printed.code).to.equal(6);
    expect(printed.errors).to.include('found no line of r-9');
  });
});
