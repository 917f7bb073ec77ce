import {SystemClock} from '@savoryspur/common';
import {expect} from 'chai';
import {ok} from 'neverthrow';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {PeerConnection} from '../src/peer_connection.js';
import {
  createProcedure,
  PeerServer,
  type ProcedureTable,
} from '../src/index.js';

/** Time without a message after which a connection is closed, and timeout of a call, milliseconds. */
const LIMIT_MS = 30;

/** Time for which the process is suspended, milliseconds. */
const SUSPENSION_MS = 100;

/** Time limit that no test exceeds, milliseconds. */
const LONG_TIMEOUT_MS = 1000;

/** Time after an answer at which Node.js ends an idle HTTP connection, milliseconds. */
const HTTP_IDLE_MS = 6000;

/** Time for which the process is suspended around the end of an idle HTTP connection, milliseconds. */
const HTTP_SUSPENSION_MS = 600;

const SECRET = 'a secret of the daemons';
/** Request that is answered at once with 426. */
const HTTP_REQUEST = 'GET / HTTP/1.1\r\nHost: host-1\r\n\r\n';

const clock = new SystemClock();

const TABLE: ProcedureTable = new Map([
  [
    'answer',
    createProcedure(
      () => ok(''),
      () => 'answer',
    ),
  ],
  [
    'suspend',
    createProcedure(
      () => ok(''),
      () => {
        setImmediate(() => suspendProcess());
        return 'answer';
      },
    ),
  ],
]);

function suspendProcess(ms = SUSPENSION_MS): void {
  const untilMs = clock.now() + ms;
  while (clock.now() < untilMs);
}

function createPeer(host: string, peerPort = 1) {
  const zone = {zone: 'zone-a', region: 'region-1'};
  return {host, ...zone, address: '127.0.0.1', peerPort, incarnation: ''};
}

describe('a daemon that was suspended while messages of a peer arrived', () => {
  let server: PeerServer;
  let connection: PeerConnection | undefined;
  /** Called before the server accepts a connection. */
  let accept: () => void;

  beforeEach(() => {
    accept = () => undefined;
    server = new PeerServer({
      clock,
      secret: SECRET,
      address: '127.0.0.1',
      port: 0,
      getIdleTimeoutMs: () => LIMIT_MS,
      getSelf: () => {
        accept();
        return createPeer('host-1');
      },
    });
  });

  afterEach(async () => {
    connection?.close();
    await server.stop();
  });

  async function open(connectTimeoutMs: number): Promise<PeerConnection> {
    connection = await openPeer(await server.start(TABLE), connectTimeoutMs);
    return connection;
  }

  function openPeer(port: number, connectTimeoutMs: number) {
    return PeerConnection.open(createPeer('host-1', port), {
      clock,
      secret: SECRET,
      connectTimeoutMs,
      getSelf: () => createPeer('host-2'),
    });
  }

  it('does not close a connection with an unread call as idle', async () => {
    const opened = await open(LONG_TIMEOUT_MS);
    const answer = await new Promise((resolve, reject) => {
      setImmediate(() => {
        const call = opened.requestWithin('answer', '', LONG_TIMEOUT_MS);
        call.then(resolve, reject);
        suspendProcess();
      });
    });
    expect(answer).to.deep.include({result: {type: 'data', data: 'answer'}});
  });

  it('does not close an HTTP connection with an unread request as idle', async () => {
    const socket = net.connect(await server.start(TABLE), '127.0.0.1');
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.on('error', () => undefined);
    let text = '';
    socket.setEncoding('utf8').on('data', (part: string) => (text += part));
    socket.write(HTTP_REQUEST);
    await pause(HTTP_IDLE_MS - HTTP_SUSPENSION_MS / 2);
    setImmediate(() => {
      socket.write(HTTP_REQUEST);
      suspendProcess(HTTP_SUSPENSION_MS);
    });
    await closed;
    const answers = text.split('HTTP/1.1 426').length - 1;
    expect(answers).to.equal(2);
  }).timeout(3 * HTTP_IDLE_MS);

  it('takes an answer that is unread when its timeout expires', async () => {
    const opened = await open(LONG_TIMEOUT_MS);
    const answer = await opened.requestWithin('suspend', '', LIMIT_MS);
    expect(answer).to.deep.include({result: {type: 'data', data: 'answer'}});
  });

  it('opens a connection whose acceptance is unread when its timeout expires', async () => {
    accept = () => setImmediate(() => suspendProcess());
    const opened = await open(LIMIT_MS);
    expect(opened.peer.host).to.equal('host-1');
  });

  it('gives up a connection that a peer does not accept in time', async () => {
    const silent = net.createServer().listen(0, '127.0.0.1');
    await once(silent, 'listening');
    const {port} = silent.address() as AddressInfo;
    const failure = await openPeer(port, LIMIT_MS).catch(String);
    expect(failure).to.equal('Error: no connection within 30 ms');
    silent.close();
  });
});
