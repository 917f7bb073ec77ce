import {expect} from 'chai';
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {StreamBodies} from '../src/index.js';

/** Memory of all bodies: that of two bodies of the size below. */
const MAX_BYTES = 128 * 1024;

const BODY = Buffer.alloc(64 * 1024, 'x');

/** Parts that together take the memory of one body of the size above. */
const SMALL_PART = Buffer.alloc(80, 'x');
const SMALL_PARTS = 800;

/** Call whose body arrives in parts; the answer is closed with `answer.emit`. */
class FakeCall {
  readonly request = new PassThrough();
  readonly answer = Object.assign(new EventEmitter(), {closed: false});
  /** Time limit without a byte, milliseconds, and what happens when it has expired. */
  timeoutMs = 0;
  private expireTimeout: () => void = () => undefined;

  constructor(private readonly bodies: StreamBodies) {}

  /** Starts to read the body. */
  read(): Promise<Buffer | undefined> {
    const request = Object.assign(this.request, {
      setTimeout: (ms: number, expire?: () => void) => {
        this.timeoutMs = ms;
        if (expire) this.expireTimeout = expire;
      },
    });
    return this.bodies.read(
      request as unknown as IncomingMessage,
      this.answer as unknown as ServerResponse,
    );
  }

  expire(): void {
    this.expireTimeout();
  }

  close(): void {
    this.answer.closed = true;
    this.answer.emit('close');
  }
}

// Guards against forwarded calls that take all memory of the daemon that answers
// them, and against memory that is never returned.
describe('StreamBodies', () => {
  let bodies: StreamBodies;

  beforeEach(() => {
    bodies = new StreamBodies(MAX_BYTES);
  });

  /** Reads a whole body of a new call. */
  async function readWhole(): Promise<[FakeCall, Buffer | undefined]> {
    const call = new FakeCall(bodies);
    const body = call.read();
    call.request.end(BODY);
    return [call, await body];
  }

  it('refuses a body without memory, and reads it once an answer is closed', async () => {
    const [first] = await readWhole();
    const [, second] = await readWhole();
    expect(second?.equals(BODY)).to.equal(true);
    expect((await readWhole())[1]).to.equal(undefined);
    first.close();
    expect((await readWhole())[1]?.equals(BODY)).to.equal(true);
  });

  it('returns the memory of refused and closed calls once', async () => {
    const [first] = await readWhole();
    await readWhole();
    const [refused] = await readWhole();
    refused.close();
    first.close();
    first.close();
    expect((await readWhole())[1]).to.not.equal(undefined);
    expect((await readWhole())[1]).to.equal(undefined);
  });

  it('counts unfinished bodies, whatever the size of their parts', async () => {
    const unfinished = new FakeCall(bodies);
    const reading = unfinished.read().catch(() => undefined);
    for (let part = 0; part < SMALL_PARTS; part += 1) {
      unfinished.request.write(SMALL_PART);
      await waitForTurn();
    }
    expect((await readWhole())[1]).to.not.equal(undefined);
    expect((await readWhole())[1]).to.equal(undefined);
    unfinished.request.destroy();
    unfinished.close();
    await reading;
    expect((await readWhole())[1]).to.not.equal(undefined);
  });

  it('ends a body without progress, but no call whose body is whole', async () => {
    const stalled = new FakeCall(bodies);
    const reading = stalled.read().then(
      () => 'read',
      () => 'ended',
    );
    stalled.request.write(BODY);
    await waitForTurn();
    expect(stalled.timeoutMs).to.equal(10_000);
    stalled.expire();
    expect(await reading).to.equal('ended');
    const [whole] = await readWhole();
    expect(whole.timeoutMs).to.equal(0);
  });
});
