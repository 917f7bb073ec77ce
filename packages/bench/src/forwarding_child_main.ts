/** Process of the server or of the host in between in the measurements of forwarded calls; {@link ForwardingChild} starts it. */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {ChildRole, type ChildReading} from './forwarding_child.js';
import {startHostBetween} from './forwarding_hosts.js';
import {startServer} from './forwarding_server.js';
import {readHeap} from './measure.js';

/** Diagnostics channel on which Node reports each incoming connection. */
const SERVER_SOCKET_CHANNEL = 'net.server.socket';

const sockets: Socket[] = [];

function readSelf(): ChildReading {
  const {user, system} = process.cpuUsage();
  let [receivedBytes, sentBytes] = [0, 0];
  for (const {bytesRead, bytesWritten} of sockets) {
    receivedBytes += bytesRead;
    sentBytes += bytesWritten;
  }
  return {
    cpuMicroseconds: user + system,
    receivedBytes,
    sentBytes,
    connections: sockets.filter(({destroyed}) => !destroyed).length,
  };
}

async function main(): Promise<void> {
  subscribe(SERVER_SOCKET_CHANNEL, (message) => {
    sockets.push((message as {socket: Socket}).socket);
  });
  const [role, serverPort] = process.argv.slice(2);
  const port =
    role === ChildRole.HOST_BETWEEN
      ? await startHostBetween(Number(serverPort))
      : await startServer();
  process.on('message', (isHeapRead: boolean) => {
    const reading = readSelf();
    if (isHeapRead) {
      reading.heapBytes = readHeap();
      reading.residentBytes = process.memoryUsage().rss;
    }
    process.send!(reading);
  });
  process.on('disconnect', () => process.exit());
  process.send!(port);
}

await main();
