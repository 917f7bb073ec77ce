import {execFile} from 'node:child_process';
import net from 'node:net';
import path from 'node:path';
import {pathToFileURL} from 'node:url';
import {promisify} from 'node:util';
import {expect} from 'chai';
import {LOOPBACK, type PortReservation, reservePorts} from '../src/index.js';

const INDEX_URL = pathToFileURL(
  path.resolve(import.meta.dirname, '../src/index.js'),
).href;

/** Number of runs that begin together. */
const RUNS = 5;

/** Number of blocks of each run. */
const BLOCKS_PER_RUN = 6;

/** Distance from the first port of a block to the one that reserves it. */
const GUARD_OFFSET = 19;

/** Whether somebody listens on a port. */
function tryConnect(port: number): Promise<boolean> {
  const socket = net.connect(port, LOOPBACK);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

/** Reserves ports in another process, which ends then. */
async function reserveElsewhere(): Promise<number[]> {
  const script = `
    import {reservePorts} from ${JSON.stringify(INDEX_URL)};
    const {ports} = await reservePorts(${BLOCKS_PER_RUN});
    console.log(JSON.stringify(ports));`;
  const args = ['--input-type=module', '--eval', script];
  const {stdout} = await promisify(execFile)(process.execPath, args);
  return JSON.parse(stdout) as number[];
}

// Guards against callers of one run that talk to the daemons of another one.
describe('reserved ports', () => {
  const reservations: PortReservation[] = [];

  const reserve = async (count: number): Promise<readonly number[]> => {
    const reservation = await reservePorts(count);
    reservations.push(reservation);
    return reservation.ports;
  };

  afterEach(async () => {
    await Promise.all(reservations.splice(0).map((held) => held.release()));
  });

  it('are given to one run only when runs of a process begin together', async () => {
    const found = await Promise.all(
      Array.from({length: RUNS}, () => reserve(BLOCKS_PER_RUN)),
    );
    expect(new Set(found.flat()).size).to.equal(RUNS * BLOCKS_PER_RUN);
  });

  it('are given to no other process while nobody listens on them', async () => {
    const own = await reserve(RUNS * BLOCKS_PER_RUN);
    const others = await Promise.all(
      Array.from({length: RUNS}, () => reserveElsewhere()),
    );
    expect(own.filter((port) => others.flat().includes(port))).to.deep.equal(
      [],
    );
  });

  it('are used again after their release', async () => {
    const first = await reservePorts(1);
    const [port = 0] = first.ports;
    const guardPort = port + GUARD_OFFSET;
    expect(await tryConnect(guardPort)).to.equal(true);
    await first.release();
    expect(await tryConnect(guardPort)).to.equal(false);
  });
});
