/** Loopback addresses and free ports for processes that are about to start. */
import net from 'node:net';
import process from 'node:process';
import {LOOPBACK} from '../http_stand_in.js';

/** Number of addresses that one process chooses before they repeat. */
const ADDRESSES_PER_PROCESS = 4;

let chosenCount = 0;

/**
 * Chooses a loopback address derived from the id of this process, which other
 * test processes do not use, so that ports that are free on it stay free. Falls
 * back to the common loopback address on systems that have no other one.
 */
export async function chooseAddress(): Promise<string> {
  const index = chosenCount % ADDRESSES_PER_PROCESS;
  chosenCount += 1;
  const addressNumber = process.pid * ADDRESSES_PER_PROCESS + index;
  const octets = [
    127,
    1 + ((addressNumber >> 16) & 0x7f),
    (addressNumber >> 8) & 0xff,
    addressNumber & 0xff,
  ];
  const address = octets.join('.');
  try {
    await findFreePorts(1, address);
    return address;
  } catch {
    return LOOPBACK;
  }
}

/**
 * Finds free ports, which the system chooses. They are no longer in use when the
 * promise resolves, and another process may take them from then on.
 *
 * @param count - number of ports
 * @param address - loopback address on which the ports are free
 */
export async function findFreePorts(
  count: number,
  address = LOOPBACK,
): Promise<number[]> {
  const servers = Array.from({length: count}, () => net.createServer());
  await Promise.all(servers.map((server) => startListening(server, address)));
  const ports = servers.map((s) => (s.address() as net.AddressInfo).port);
  await Promise.all(
    servers.map((s) => new Promise<void>((done) => s.close(() => done()))),
  );
  return ports;
}

function startListening(server: net.Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, address, resolve);
  });
}
