/** One zone whose daemons' fleet components run in this process over the real transport. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {MemoryEventLog, SystemClock} from '@savoryspur/common';
import {
  createFleet,
  createFleetRootRouter,
  type Fleet,
} from '@savoryspur/fleet';
import {type Settings, validateSettings, ZoneState} from '@savoryspur/schema';
import type {AnyRouter} from '@trpc/server';
import {
  createDocument,
  createSource,
  FAKE_REGION,
  FAKE_ZONE,
  MemoryHostList,
  MemoryTable,
} from './fleet_fakes.js';

/** Diagnostics channel on which Node reports each outgoing connection. */
const CLIENT_SOCKET_CHANNEL = 'net.client.socket';

/** Bytes of the IP and TCP headers of one segment, with TCP timestamps. */
const SEGMENT_HEADER_BYTES = 52;

/** TCP segments of one exchange: request, answer with its ACK, final ACK. */
const EXCHANGE_SEGMENTS = 3;

/** Estimated TCP and IP header bytes of one exchange of request and answer. */
export const EXCHANGE_HEADER_BYTES = EXCHANGE_SEGMENTS * SEGMENT_HEADER_BYTES;

/** Creates the peer router of one daemon of the zone. */
export type RouterFactory = (fleet: Fleet, index: number) => AnyRouter;

/** Fleet components of the daemons of one zone, with a count of the bytes on their connections. */
export class SmallZone {
  readonly fleets: Fleet[] = [];
  private readonly sockets: Socket[] = [];

  /**
   * @param heartbeatMs - heartbeat period, milliseconds
   */
  constructor(private readonly heartbeatMs: number) {}

  /**
   * Starts the daemons of the zone one after the other.
   *
   * @param daemons - number of daemons
   * @param createRouter - creates the peer router of a daemon; by default one with
   *   only the procedures of the fleet component
   */
  async start(daemons: number, createRouter?: RouterFactory): Promise<void> {
    subscribe(CLIENT_SOCKET_CHANNEL, this.addSocket);
    const hostList = new MemoryHostList();
    const table = new MemoryTable();
    const environment = createSource({
      ...createDocument(1, 1),
      zones: [
        {
          name: FAKE_ZONE,
          region: FAKE_REGION,
          state: ZoneState.IN,
          slots: daemons,
        },
      ],
    });
    for (let i = 0; i < daemons; i++) {
      const fleet = createFleet({
        settings: createSettings(i, this.heartbeatMs),
        incarnation: `run-${i}`,
        clock: new SystemClock(),
        log: new MemoryEventLog(),
        hostList,
        table,
        environment,
      });
      const router =
        createRouter?.(fleet, i) ?? createFleetRootRouter(fleet.router);
      await fleet.start(router);
      hostList.add(fleet.self);
      this.fleets.push(fleet);
    }
  }

  /** Sums the bytes sent and received on all connections since the start. */
  sumBytes(): number {
    let sum = 0;
    for (const {bytesRead, bytesWritten} of this.sockets) {
      sum += bytesRead + bytesWritten;
    }
    return sum;
  }

  /** Stops all daemons. */
  async stop(): Promise<void> {
    unsubscribe(CLIENT_SOCKET_CHANNEL, this.addSocket);
    for (const fleet of this.fleets) await fleet.stop();
  }

  private readonly addSocket = (message: unknown): void => {
    this.sockets.push((message as {socket: Socket}).socket);
  };
}

function createSettings(index: number, heartbeatMs: number): Settings {
  const url = 'http://127.0.0.1:9';
  const settings = validateSettings({
    host: {id: `host-${index}`, zone: FAKE_ZONE, region: FAKE_REGION},
    listen: {callerPort: 0, peerPort: 0, opsPort: 0},
    platform: {tableUrl: url, objectUrl: url, hostListUrl: url, weightUrl: url},
    secrets: {
      peer: 'a secret of the daemons',
      operator: 'a secret of the operators',
    },
    leases: {
      heartbeatMs,
      heartbeatBytes: 10_000_000,
      delegationMs: 3000,
      slotTakeoverMs: 10_000,
      hostListPollMs: 500,
    },
  });
  return settings._unsafeUnwrap();
}
