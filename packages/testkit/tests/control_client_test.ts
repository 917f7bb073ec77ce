/** Tests of retries in the client of the control API. */
import {expect} from 'chai';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {ControlClient} from '../src/index.js';

/** Answer of the control API. */
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}';

describe('ControlClient', () => {
  let server: net.Server;
  let connections = 0;
  let resets = 0;

  beforeEach(async () => {
    connections = 0;
    server = net.createServer((socket) => {
      connections += 1;
      socket.on('error', () => undefined);
      if (connections <= resets) socket.resetAndDestroy();
      else socket.once('data', () => socket.end(ANSWER));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => new Promise((resolve) => server.close(resolve)));

  function createClient(): ControlClient {
    const {port} = server.address() as AddressInfo;
    return new ControlClient(`http://127.0.0.1:${port}`);
  }

  /** Finds the error code with which a call fails; undefined on success. */
  async function findCode(call: Promise<unknown>): Promise<string | undefined> {
    try {
      await call;
      return undefined;
    } catch (thrown) {
      return (thrown as NodeJS.ErrnoException).code;
    }
  }

  it('retries a read when its connection is reset', async () => {
    resets = 1;
    expect(await findCode(createClient().get('/control/stats'))).to.equal(
      undefined,
    );
    expect(connections).to.equal(2);
  });

  it('gives up after three resets', async () => {
    resets = 3;
    const code = await findCode(createClient().get('/control/stats'));
    expect(code).to.equal('ECONNRESET');
  });

  it('does not retry a change', async () => {
    resets = 1;
    const code = await findCode(createClient().post('/control/faults'));
    expect(code).to.equal('ECONNRESET');
    expect(connections).to.equal(1);
  });
});
