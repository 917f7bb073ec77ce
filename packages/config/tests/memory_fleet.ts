/** Config distributors of several daemons in one process, with lossy links. */
import {
  computeRendezvousRanking,
  ErrorCode,
  ManualClock,
  MemoryEventLog,
  SavoryspurError,
} from '@savoryspur/common';
import type {MembershipView, PeerCaller} from '@savoryspur/fleet';
import type {PeerInfo} from '@savoryspur/schema';
import {errAsync, ResultAsync} from 'neverthrow';
import {
  ConfigDistributor,
  ConfigFollower,
  type ConfigPeerClient,
  EnvironmentLoader,
} from '../src/index.js';
import type {MemoryObjects, MemoryTable} from './memory_storage.js';

/** One daemon of the fake fleet. */
export interface FakeDaemon {
  info: PeerInfo;
  follower: ConfigFollower;
  distributor: ConfigDistributor;
}

/** Tells whether a call from one daemon reaches another. */
export type ConnectivityRule = (
  from: PeerInfo,
  to: PeerInfo,
  step: string,
) => boolean;

/** A fleet whose daemons call each other directly. */
export class MemoryFleet {
  readonly daemons = new Map<string, FakeDaemon>();
  isConnected: ConnectivityRule = () => true;
  /** Length of all JSON text sent between daemons, both ways, characters. */
  bytesSent = 0;
  calls = 0;
  readonly clock = new ManualClock();
  /** Staleness above which a host has no version in force, milliseconds. */
  maxStalenessMs = 0;

  constructor(
    private readonly table: MemoryTable,
    private readonly objects: MemoryObjects,
  ) {}

  /** Starts a daemon; a known host name restarts the daemon of this host. */
  add(host: string, zone: string, table = this.table): FakeDaemon {
    const info: PeerInfo = {
      host,
      zone,
      region: 'west',
      address: '127.0.0.1',
      peerPort: 1,
      incarnation: host,
    };
    const {clock} = this;
    const environment = 'production';
    const follower = new ConfigFollower({
      environment,
      loader: new EnvironmentLoader(table, this.objects),
      clock,
      log: new MemoryEventLog(),
      pollMs: 1000,
      maxStalenessMs: this.maxStalenessMs,
    });
    const distributor = new ConfigDistributor({
      environment,
      follower,
      view: this.createView(info),
      peers: this.createCaller(info),
      clock,
      pollMs: 1000,
      random: () => 0,
    });
    const daemon = {info, follower, distributor};
    this.daemons.set(host, daemon);
    return daemon;
  }

  /** Lists the version of each host. */
  listVersions(): number[] {
    return [...this.daemons.values()].map((d) => d.follower.getState().version);
  }

  /** Waits until all calls in progress have ended. */
  async drain(): Promise<void> {
    let previousCalls = -1;
    while (previousCalls !== this.calls) {
      previousCalls = this.calls;
      await new Promise((resolve) => setImmediate(resolve));
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  private createView(self: PeerInfo): MembershipView {
    const list = () => [...this.daemons.values()].map((d) => d.info);
    const listAlive = (zone: string) => list().filter((p) => p.zone === zone);
    const listOwners = (key: string, zone: string) => {
      const hosts = listAlive(zone).map((peer) => peer.host);
      const ranking = computeRendezvousRanking(key, hosts);
      return ranking.flatMap((host) => list().filter((p) => p.host === host));
    };
    return {
      self,
      listAlive,
      listZones: () => [...new Set(list().map((peer) => peer.zone))],
      computeOwner: (key, zone) => listOwners(key, zone)[0],
      listOwners,
      getDelegatedShare: () => {
        throw new Error('not used');
      },
    };
  }

  private createCaller(from: PeerInfo): PeerCaller<ConfigPeerClient> {
    return {
      request: (peer, step, run) => {
        this.calls += 1;
        const target = this.daemons.get(peer.host);
        if (!target || !this.isConnected(from, peer, step)) {
          const origin = {step, peer: peer.host};
          const code = ErrorCode.UNAVAILABLE;
          return errAsync(new SavoryspurError(code, origin, 'the link is cut'));
        }
        const client = this.createClient(from, target);
        return ResultAsync.fromSafePromise(
          run(client, new AbortController().signal),
        );
      },
    };
  }

  private createClient(from: PeerInfo, target: FakeDaemon): ConfigPeerClient {
    const transfer = <T>(value: T): T => {
      const text = JSON.stringify(value);
      this.bytesSent += text.length;
      return JSON.parse(text) as T;
    };
    const {distributor} = target;
    return {
      config: {
        push: {
          mutate: async (push) =>
            transfer(distributor.handlePush(transfer(push), from)),
        },
        fetch: {
          query: async (fetch) =>
            transfer(distributor.handleFetch(transfer(fetch))),
        },
      },
    };
  }
}
