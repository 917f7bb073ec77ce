/** Tests of the proxy process: each fault on real connections. */
import net from 'node:net';
import {SystemClock} from '@savoryspur/common';
import {ProxyAction} from '@savoryspur/schema';
import {expect} from 'chai';
import {ProxyProcess, startStandIn} from '../src/index.js';

const clock = new SystemClock();

/** Wait in which a blocked connection must deliver nothing, milliseconds. */
const BLOCKED_WAIT_MS = 150;

/** TCP client that collects the text it receives. */
class Client {
  text = '';
  isReset = false;
  isEnded = false;
  readonly socket: net.Socket;

  constructor(port: number) {
    this.socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
    this.socket.setEncoding('utf8');
    this.socket.on('data', (text) => (this.text += String(text)));
    this.socket.on('end', () => (this.isEnded = true));
    this.socket.on('error', () => (this.isReset = true));
  }

  async waitFor(isDone: (client: Client) => boolean): Promise<void> {
    while (!isDone(this)) await clock.sleep(5);
  }
}

describe('proxy process', () => {
  let proxy: ProxyProcess;
  let link = '';
  let linkCount = 0;
  let echo: net.Server;
  let port: number;
  let received: string;
  let clients: Client[];
  let accepted: net.Socket[];

  before(async () => {
    proxy = await startStandIn(ProxyProcess, 'proxy_main', {}, clock);
  });

  after(() => proxy.stop());

  beforeEach(async () => {
    received = '';
    clients = [];
    accepted = [];
    echo = net.createServer((socket) => {
      accepted.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        received += bytes.toString();
        socket.write(bytes);
      });
    });
    await new Promise<void>((done) => echo.listen(0, '127.0.0.1', done));
    linkCount += 1;
    link = `echo-${linkCount}`;
    const target = echo.address() as net.AddressInfo;
    port = await proxy.addLink(link, target);
  });

  afterEach(async () => {
    for (const client of clients) client.socket.destroy();
    for (const socket of accepted) socket.destroy();
    echo.close();
  });

  const connect = () => {
    const client = new Client(port);
    clients.push(client);
    return client;
  };

  const exchange = async (client: Client, text: string) => {
    client.socket.write(text);
    await client.waitFor((c) => c.text.endsWith(text));
  };

  const stats = async () => (await proxy.getStats()).links[link]!;

  it('forwards and counts bytes, and forwards the end', async () => {
    const client = connect();
    await exchange(client, 'hello');
    client.socket.end();
    await client.waitFor((c) => c.isEnded);
    expect(await stats()).to.include({
      accepted: 1,
      bytesToTarget: 5,
      bytesToClient: 5,
    });
  });

  it('forwards more bytes than it buffers to a slow reader', async () => {
    const client = connect();
    client.socket.pause();
    const text = 'x'.repeat(4 * 1024 * 1024);
    client.socket.write(text);
    await clock.sleep(50);
    client.socket.resume();
    await client.waitFor((c) => c.text.length === text.length);
  });

  it('resets connections and refuses new ones while cut, until healed', async () => {
    const client = connect();
    await exchange(client, 'a');
    await proxy.apply(ProxyAction.CUT, [link]);
    await client.waitFor((c) => c.isReset);
    await connect().waitFor((c) => c.isReset);
    await proxy.apply(ProxyAction.HEAL, [link]);
    await exchange(connect(), 'b');
    expect((await stats()).refused).to.equal(1);
  });

  it('buffers bytes of both directions while frozen, until healed', async () => {
    const client = connect();
    await exchange(client, 'a');
    await proxy.apply(ProxyAction.FREEZE, [link]);
    client.socket.write('b');
    const late = connect();
    late.socket.write('c');
    await clock.sleep(BLOCKED_WAIT_MS);
    expect(received).to.equal('a');
    expect(client.isReset || client.isEnded).to.equal(false);
    await proxy.apply(ProxyAction.HEAL, [link]);
    await client.waitFor((c) => c.text === 'ab');
    await late.waitFor((c) => c.text === 'c');
  });

  it('delays each direction', async () => {
    const client = connect();
    await exchange(client, 'a');
    await proxy.apply(ProxyAction.DELAY, [link], 100);
    const startedAtMs = clock.now();
    await exchange(client, 'b');
    expect(clock.now() - startedAtMs).to.be.greaterThan(190);
  });

  const directions: Array<[ProxyAction, string]> = [
    [ProxyAction.DROP_TO_TARGET, 'a'],
    [ProxyAction.DROP_TO_CLIENT, 'ab'],
  ];
  for (const [action, expected] of directions) {
    it(`drops the bytes of one direction: ${action}`, async () => {
      const client = connect();
      await exchange(client, 'a');
      await proxy.apply(action, [link]);
      client.socket.write('b');
      while (received !== expected) await clock.sleep(5);
      await clock.sleep(BLOCKED_WAIT_MS);
      expect(received).to.equal(expected);
      expect(client.text).to.equal('a');
      await proxy.apply(ProxyAction.HEAL, [link]);
      await client.waitFor((c) => c.isReset);
      await exchange(connect(), 'c');
    });
  }

  it('stops forwarding on forgotten connections, but not on new ones', async () => {
    const client = connect();
    await exchange(client, 'a');
    await proxy.apply(ProxyAction.FORGET, [link]);
    client.socket.write('b');
    await exchange(connect(), 'c');
    await proxy.apply(ProxyAction.HEAL, [link]);
    await clock.sleep(BLOCKED_WAIT_MS);
    expect(received).to.equal('ac');
    expect(client.text).to.equal('a');
    expect(client.isReset || client.isEnded).to.equal(false);
    expect((await stats()).forgotten).to.equal(1);
  });

  it('applies a fault to one link only', async () => {
    const other = await proxy.addLink('other', {
      address: '127.0.0.1',
      port,
    });
    await proxy.apply(ProxyAction.CUT, ['other']);
    await exchange(connect(), 'a');
    const client = new Client(other);
    await client.waitFor((c) => c.isReset);
  });
});
