import {expect} from 'chai';
import {
  EVENT_CATALOGUE,
  EventLevel,
  LineEventLog,
  ManualClock,
  SERVING_EVENTS,
  ServingEvent,
} from '../src/index.js';

/** Sink that keeps the written text in memory. */
class MemorySink {
  writableLength = 0;
  text = '';

  /** Appends a text. */
  write(text: string): boolean {
    this.text += text;
    return true;
  }

  /** Parses the written lines. */
  readLines(): Array<Record<string, unknown>> {
    return this.text
      .split('\n')
      .filter((line) => line !== '')
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }
}

describe('LineEventLog', () => {
  it('writes one JSON object per line with the text of the catalogue', () => {
    const sink = new MemorySink();
    const log = new LineEventLog('host-1', new ManualClock(), sink);
    log.record(ServingEvent.REQUEST_REFUSED, {requestId: 'r-1', code: 'x'});
    log.flush();
    expect(sink.readLines()).to.deep.equal([
      {
        time: '1970-01-01T00:00:00.000Z',
        level: 'warn',
        event: ServingEvent.REQUEST_REFUSED,
        text: EVENT_CATALOGUE.get(ServingEvent.REQUEST_REFUSED)?.text,
        host: 'host-1',
        requestId: 'r-1',
        code: 'x',
      },
    ]);
  });

  it('limits the lines of routine events separately from all others', () => {
    const sink = new MemorySink();
    const clock = new ManualClock();
    const log = new LineEventLog('host-1', clock, sink);
    for (let i = 0; i < 1000; i += 1) {
      log.record(ServingEvent.REQUEST_ANSWERED, {requestId: `r-${i}`});
    }
    log.record(ServingEvent.REQUEST_REFUSED, {requestId: 'refused'});
    log.flush();
    const lines = sink.readLines();
    expect(lines).to.have.length(202);
    expect(lines.some((line) => line.requestId === 'refused')).to.equal(true);
    expect(lines.at(-1)).to.include({
      event: ServingEvent.LINES_DROPPED,
      count: 800,
    });
    expect(log.countDropped()).to.equal(800);
    clock.advance(1000);
    log.record(ServingEvent.REQUEST_ANSWERED, {requestId: 'later'});
    log.flush();
    expect(sink.readLines().at(-1)).to.include({requestId: 'later'});
  });

  it('drops lines instead of waiting for a slow reader', () => {
    const sink = new MemorySink();
    const log = new LineEventLog('host-1', new ManualClock(), sink);
    sink.writableLength = 10_000_000;
    log.record(ServingEvent.REQUEST_REFUSED);
    log.flush();
    expect(sink.text).to.equal('');
    sink.writableLength = 0;
    log.flush();
    expect(sink.readLines()).to.have.length(1);
    expect(sink.readLines()[0]).to.include({count: 1});
  });

  it('ignores events below its level', () => {
    const sink = new MemorySink();
    const log = new LineEventLog('h', new ManualClock(), sink);
    log.record(ServingEvent.SLOT_GRANTED);
    const verbose = new LineEventLog(
      'h',
      new ManualClock(),
      sink,
      EventLevel.DEBUG,
    );
    verbose.record(ServingEvent.SLOT_GRANTED);
    log.flush();
    verbose.flush();
    expect(sink.readLines()).to.have.length(1);
  });

  it('defines a text for each event of the serving path', () => {
    const numbers = Object.values(ServingEvent).filter(
      (value) => typeof value === 'number',
    );
    for (const number of numbers) {
      expect(SERVING_EVENTS.get(number)?.text).to.match(/^[A-Z].*\.$/);
    }
  });
});
