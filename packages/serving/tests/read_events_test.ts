import {SystemClock} from '@savoryspur/common';
import {CallOutcome} from '@savoryspur/schema';
import {expect} from 'chai';
import {setTimeout as sleep} from 'node:timers/promises';
import {BrokenBodyError, type ServerReply} from '../src/online/online_types.js';
import {readEvents} from '../src/online/read_events.js';

const MAX_PAUSE_MS = 60;

const clock = new SystemClock();

/** Creates a reply whose body ends with an error once it is dropped, as that of a closed connection. */
function createReply(
  parts: (isDropped: () => boolean) => AsyncIterable<Buffer>,
): ServerReply & {isDropped: boolean} {
  const reply: ServerReply & {isDropped: boolean} = {
    kind: 'reply',
    head: {statusCode: 200, headers: []},
    isSigned: true,
    isDelimited: true,
    isDropped: false,
    drop: () => {
      reply.isDropped = true;
    },
    body: parts((): boolean => reply.isDropped),
  };
  return reply;
}

async function* sendRepeatedly(
  isDropped: () => boolean,
  text: string,
  pauseMs: number,
): AsyncGenerator<Buffer, void, void> {
  while (!isDropped()) {
    yield Buffer.from(text);
    await sleep(pauseMs);
  }
  throw new BrokenBodyError(CallOutcome.BROKEN, 'closed');
}

async function collect(reply: ServerReply, pauseMs = 0): Promise<number> {
  let count = 0;
  for await (const event of readEvents(reply, MAX_PAUSE_MS, clock)) {
    expect(event.id).to.equal((count += 1));
    await sleep(pauseMs);
  }
  return count;
}

async function requireBroken(task: Promise<unknown>): Promise<BrokenBodyError> {
  try {
    await task;
  } catch (thrown) {
    if (thrown instanceof BrokenBodyError) return thrown;
    throw thrown;
  }
  throw new Error('the stream was taken for complete');
}

describe('readEvents', () => {
  it('does not blame the server for the stall of a forwarded stream', async () => {
    const reply = createReply((isDropped) =>
      sendRepeatedly(isDropped, 'x', 20),
    );
    reply.isForwarded = true;
    const broken = await requireBroken(collect(reply));
    expect(broken.outcome).to.equal(CallOutcome.ABANDONED);
  });

  const stalls = [
    {name: 'a byte now and then', text: ':'},
    {name: 'comments', text: ': still here\n\n'},
  ];
  for (const {name, text} of stalls) {
    it(`ends a stalled stream that sends ${name}`, async () => {
      const reply = createReply((isDropped) =>
        sendRepeatedly(isDropped, text, 10),
      );
      const startMs = performance.now();
      const task = (async () => {
        for await (const event of readEvents(reply, MAX_PAUSE_MS, clock))
          void event;
      })();
      expect((await requireBroken(task)).outcome).to.equal(CallOutcome.SILENT);
      expect(reply.isDropped).to.equal(true);
      expect(performance.now() - startMs).to.be.below(MAX_PAUSE_MS * 10);
    });
  }

  it('ends a stream whose event never ends, within a bound of bytes', async () => {
    let bytes = 0;
    const reply = createReply(async function* (isDropped) {
      while (!isDropped()) {
        bytes += 65_536;
        yield Buffer.alloc(65_536, 'x');
      }
    });
    expect((await requireBroken(collect(reply))).outcome).to.equal(
      CallOutcome.BROKEN,
    );
    expect(bytes).to.be.below(2 * 1024 * 1024);
    expect(reply.isDropped).to.equal(true);
  });

  it('keeps a silent stream until there is another server', async () => {
    let searches = 0;
    const otherServer = {
      begin: (end: () => void) => {
        searches += 1;
        if (searches === 2) end();
      },
      end: () => undefined,
    };
    const reply = createReply(async function* (isDropped) {
      yield Buffer.from('id: 1\ndata: x\n\n');
      await sleep(MAX_PAUSE_MS * 3);
      yield Buffer.from('id: 2\ndata: x\n\n');
      while (!isDropped()) await sleep(5);
    });
    let events = 0;
    const task = (async () => {
      for await (const event of readEvents(
        reply,
        MAX_PAUSE_MS,
        clock,
        false,
        undefined,
        otherServer,
      )) {
        expect(event.id).to.equal((events += 1));
      }
    })();
    expect((await requireBroken(task)).outcome).to.equal(CallOutcome.SILENT);
    expect(events).to.equal(2);
    expect(searches).to.equal(2);
  });

  it('keeps a slow but sound stream', async () => {
    const reply = createReply(async function* () {
      for (let id = 1; id <= 4; id += 1) {
        await sleep(MAX_PAUSE_MS / 2);
        yield Buffer.from(`id: ${id}\n`);
        yield Buffer.from('data: x\n\n');
      }
    });
    expect(await collect(reply)).to.equal(4);
  });

  it('keeps a slow but sound stream without event ids', async () => {
    const reply = createReply(async function* () {
      for (let event = 1; event <= 4; event += 1) {
        await sleep(MAX_PAUSE_MS / 2);
        yield Buffer.from('data: x\n\n');
      }
    });
    let count = 0;
    for await (const event of readEvents(reply, MAX_PAUSE_MS, clock)) {
      expect(event.data).to.equal('x');
      count += 1;
    }
    expect(count).to.equal(4);
    expect(reply.isDropped).to.equal(false);
  });

  it('keeps a sound stream whose consumer is slow', async () => {
    const reply = createReply(async function* () {
      yield Buffer.from('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
    });
    expect(await collect(reply, MAX_PAUSE_MS * 2)).to.equal(2);
  });
});
