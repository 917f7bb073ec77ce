/**
 * Ports for the daemons of one run that no other run uses meanwhile, also while
 * a daemon is restarted and its own ports are free.
 */
import net from 'node:net';
import process from 'node:process';
import {LOOPBACK} from '../http_stand_in.js';

/** First port of the first block; the blocks lie outside of the range from which the system chooses. */
const FIRST_PORT = 12_000;

/** Number of ports in a block. */
const PORTS_PER_BLOCK = 20;

/** Number of blocks. */
const BLOCKS = 1000;

/** Number of ports at the start of a block that daemons use. */
const USED_PORTS = 4;

/** Offset of the port whose listener reserves the block. */
const GUARD_OFFSET = PORTS_PER_BLOCK - 1;

/** Blocks that were tried by this process; runs of one process use different blocks, so that late callers of a run don't reach the next one. */
let triedBlocks = process.pid;

/** Port blocks of one run. */
export class PortReservation {
  private readonly guards: net.Server[] = [];
  private readonly firstPorts: number[] = [];

  /** First ports of the blocks. */
  get ports(): readonly number[] {
    return this.firstPorts;
  }

  /**
   * Reserves one more block.
   *
   * @returns its first port
   * @throws Error when all blocks are in use
   */
  async add(): Promise<number> {
    for (let tried = 0; tried < BLOCKS; tried += 1) {
      triedBlocks += 1;
      const port = FIRST_PORT + (triedBlocks % BLOCKS) * PORTS_PER_BLOCK;
      const guard = await tryListen(port + GUARD_OFFSET);
      if (!guard) continue;
      if (await isBlockFree(port)) {
        // The guard must not keep a process alive whose tests have ended.
        this.guards.push(guard.unref());
        this.firstPorts.push(port);
        return port;
      }
      await close(guard);
    }
    throw new Error(`ports: found no free block, expected 1 of ${BLOCKS}`);
  }

  /** Gives all blocks back. */
  async release(): Promise<void> {
    this.firstPorts.length = 0;
    await Promise.all(this.guards.splice(0).map(close));
  }
}

/**
 * Reserves port blocks.
 *
 * @param count - number of blocks
 * @throws Error when fewer blocks are free
 */
export async function reservePorts(count: number): Promise<PortReservation> {
  const reservation = new PortReservation();
  try {
    for (let added = 0; added < count; added += 1) await reservation.add();
  } catch (thrown) {
    await reservation.release();
    throw thrown;
  }
  return reservation;
}

/** Checks that no daemon of an ended run still listens on the ports of a block. */
async function isBlockFree(firstPort: number): Promise<boolean> {
  for (let port = firstPort; port < firstPort + USED_PORTS; port += 1) {
    const server = await tryListen(port);
    if (!server) return false;
    await close(server);
  }
  return true;
}

/** Listens on a port; gives undefined when it is in use. */
function tryListen(port: number): Promise<net.Server | undefined> {
  const server = net.createServer((socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(error);
    });
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
