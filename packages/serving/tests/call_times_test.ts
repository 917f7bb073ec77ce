import {ManualClock} from '@savoryspur/common';
import {expect} from 'chai';
import {CallTimer} from '../src/slots/call_times.js';

describe('CallTimer', () => {
  /** Measures a stream of three events, 20 ms apart, of which the reader takes each after a time. */
  async function measure(readerWaitMs: number) {
    const clock = new ManualClock();
    const timer = new CallTimer('chat', clock);
    await clock.advance(60);
    for (let event = 0; event < 3; event += 1) {
      if (event > 0) await clock.advance(20 - readerWaitMs);
      timer.recordEvent();
      const wait = timer.waitForReader(clock.sleep(readerWaitMs));
      await clock.advance(readerWaitMs);
      await wait;
    }
    return timer.getTimes();
  }

  it('measures the first event and the average time between later ones', async () => {
    expect(await measure(0)).to.deep.equal({
      route: 'chat',
      events: 3,
      firstEventMs: 60,
      eventMs: 20,
    });
  });

  it('does not take a slow reader for a slow server', async () => {
    expect(await measure(10)).not.to.have.property('eventMs');
  });

  it('measures the head of an answer that is no stream', async () => {
    const clock = new ManualClock();
    const timer = new CallTimer('lookup', clock);
    await clock.advance(30);
    timer.recordHead();
    expect(timer.getTimes()).to.deep.equal({
      route: 'lookup',
      events: 0,
      firstEventMs: 30,
    });
  });
});
