/** TCP relay that counts bytes and can stop forwarding open connections. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from 'node:net';

export class TcpRelay {
  bytes = 0;
  chunks = 0;
  connections = 0;
  private readonly server: Server;
  private readonly sockets: Socket[] = [];

  constructor(private readonly targetPort: number) {
    this.server = createServer((socket) => this.handleSocket(socket));
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return (this.server.address() as AddressInfo).port;
  }

  /** Keeps the open connections open but forwards nothing on them any more. */
  pauseOpen(): void {
    for (const socket of this.sockets) {
      socket.removeAllListeners('data');
      socket.on('data', () => undefined);
    }
  }

  /** Resets the open connections. */
  resetOpen(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private handleSocket(clientSocket: Socket): void {
    this.connections += 1;
    const serverSocket = connect(this.targetPort, '127.0.0.1');
    this.sockets.push(clientSocket, serverSocket);
    this.forward(clientSocket, serverSocket);
    this.forward(serverSocket, clientSocket);
  }

  private forward(from: Socket, to: Socket): void {
    from.setNoDelay(true);
    from.on('data', (data) => {
      this.bytes += data.length;
      this.chunks += 1;
      to.write(data);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
}
