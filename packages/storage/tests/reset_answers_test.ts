import {ErrorCode} from '@savoryspur/common';
import {HttpCaller} from '@savoryspur/storage';
import {expect} from 'chai';
import net from 'node:net';

/** Number of calls: a reset arrives with the last bytes or after them. */
const CALLS = 10;

// Guards against a part of an object that is taken for all of it.
describe('an answer of the storage without a length', () => {
  it('is broken by a reset', async () => {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\npart');
        socket.resetAndDestroy();
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as net.AddressInfo;
    const caller = new HttpCaller(`http://127.0.0.1:${port}`, {
      timeoutMs: 1000,
      connectTimeoutMs: 500,
      maxIdleMs: 1000,
    });
    for (let count = 0; count < CALLS; count += 1) {
      const answer = await caller.request({
        step: 'object.read',
        method: 'GET',
        path: '/x',
        isWrite: false,
      });
      const code = answer.match(
        ({body}) => body.toString(),
        (error) => error.code,
      );
      expect(code).to.equal(ErrorCode.UNAVAILABLE);
    }
    await caller.close();
    server.close();
  });
});
