import {ErrorCode, SystemClock} from '@savoryspur/common';
import type {PeerInfo} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  createFleetRootRouter,
  createFleetRouter,
  type FleetRootRouter,
  computeHeartbeatTiming,
  HEARTBEAT_EXCHANGE_BYTES,
  PeerPool,
  PeerServer,
} from '../src/index.js';
import {createSettings} from './fakes.js';
import {TcpRelay} from './tcp_relay.js';

const clock = new SystemClock();
const SECRET = 'a secret of the daemons';

/** Size of the IPv4 and TCP headers with time stamps, bytes. */
const HEADER_BYTES = 52;

function createPeer(host: string, peerPort: number): PeerInfo {
  return {
    host,
    zone: 'zone-a',
    region: 'region-1',
    address: '127.0.0.1',
    peerPort,
    incarnation: '',
  };
}

describe('PeerPool', () => {
  let server: PeerServer;
  let relay: TcpRelay;
  let pool: PeerPool<FleetRootRouter>;
  let peer: PeerInfo;
  let leftHosts: string[];
  let answerMembers: string[];

  function createPool(secret: string): PeerPool<FleetRootRouter> {
    return new PeerPool<FleetRootRouter>({
      secret,
      clock,
      getSelf: () => ({...createPeer('host-2', 1), incarnation: 'run-2'}),
      connectTimeoutMs: 500,
      callTimeoutMs: 200,
      getMaxIdleMs: () => 10_000,
    });
  }

  const sendHeartbeat = (sequence = 1, knownView = 0) =>
    pool.request(peer, 'fleet.heartbeat', (client, signal) =>
      client.fleet.heartbeat.mutate({sequence, knownView}, {signal}),
    );

  beforeEach(async () => {
    leftHosts = [];
    answerMembers = [];
    server = new PeerServer({
      address: '127.0.0.1',
      port: 0,
      secret: SECRET,
      getIdleTimeoutMs: () => 5000,
      clock,
      getSelf: () => ({...createPeer('host-1', 1), incarnation: 'run-1'}),
    });
    const fleet = createFleetRouter({
      answerHeartbeat: (caller, {sequence, knownView}) => ({
        sequence,
        termMs: 3000,
        slots: 12,
        fresh: false,
        views: [3],
        members: knownView === 0 ? [{view: 3, hosts: answerMembers}] : [],
      }),
      handleLeave: async (caller) => void leftHosts.push(caller.host),
      handleRelease: () => undefined,
      handleSlotsReleased: () => undefined,
    });
    relay = new TcpRelay(await server.start(createFleetRootRouter(fleet)));
    peer = createPeer('host-1', await relay.start());
    pool = createPool(SECRET);
  });

  afterEach(async () => {
    pool.stop();
    relay.stop();
    await server.stop();
  });

  it('passes the identity of the caller to the called daemon', async () => {
    const answer = await pool.request(peer, 'fleet.leave', (client) =>
      client.fleet.leave.mutate(),
    );
    expect(answer.isOk()).to.equal(true);
    expect(leftHosts).to.deep.equal(['host-2']);
  });

  it('refuses a caller without the secret', async () => {
    pool.stop();
    pool = createPool('another secret');
    const answer = await sendHeartbeat();
    expect(answer._unsafeUnwrapErr().code).to.equal(ErrorCode.UNAVAILABLE);
  });

  it('refuses to call another incarnation than the intended one', async () => {
    peer = {...peer, incarnation: 'run-0'};
    const answer = await sendHeartbeat();
    expect(answer._unsafeUnwrapErr().code).to.equal(ErrorCode.CONFLICT);
  });

  it('opens a new connection after calls on the old one timed out', async () => {
    expect((await sendHeartbeat(1)).isOk()).to.equal(true);
    relay.pauseOpen();
    const unanswered = await Promise.all([sendHeartbeat(2), sendHeartbeat(3)]);
    for (const answer of unanswered) {
      expect(answer._unsafeUnwrapErr().code).to.be.oneOf([
        ErrorCode.TIMEOUT,
        ErrorCode.BROKEN_ANSWER,
      ]);
    }
    const answer = await sendHeartbeat(4);
    expect(answer._unsafeUnwrap().sequence).to.equal(4);
    expect(relay.connections).to.equal(2);
  });

  it('sends a heartbeat within the bytes from which the period is computed', async () => {
    answerMembers = Array.from({length: 37}, (ignored, i) => `host-${i}`);
    await sendHeartbeat(1);
    const before = {bytes: relay.bytes, chunks: relay.chunks};
    const count = 50;
    for (let i = 0; i < count; i++) await sendHeartbeat(100_000 + i, 3);
    const payload = (relay.bytes - before.bytes) / count;
    const packets = (relay.chunks - before.chunks) / count + 1;
    const bytes = payload + packets * HEADER_BYTES;
    const settings = createSettings('host-1', 'zone-a');
    const leases = {
      ...settings.leases,
      heartbeatMs: 1000,
      delegationMs: 3000,
      slotTakeoverMs: 10_000,
      heartbeatBytes: 2048,
    };
    const timings = [3, 11, 36].map((peers) => ({
      peers,
      ...computeHeartbeatTiming(leases, peers),
    }));
    console.log(
      `    ${payload} payload + ${packets} packets x ${HEADER_BYTES} = ${bytes} bytes; ${JSON.stringify(timings)}`,
    );
    expect(bytes).to.be.at.most(HEARTBEAT_EXCHANGE_BYTES);
  });
});
