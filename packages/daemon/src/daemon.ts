/**
 * The daemon process: starts its components in order and shuts them down
 * without interrupting requests in progress.
 */
import {DaemonEvent} from '@savoryspur/common';
import {randomBytes} from 'node:crypto';
import {
  buildParts,
  type DaemonOptions,
  type DaemonParts,
} from './daemon_parts.js';
import type {CallerRequest} from './http/caller_request.js';
import {HttpServer} from './http/http_server.js';
import {type HttpRoute, RequestRouter} from './http/request_router.js';
import {createJobRoutes} from './jobs/job_routes.js';
import {MODEL_PATHS} from './online/model_request.js';
import {createModelRoutes} from './online/model_routes.js';
import {OnlineHandler} from './online/online_handler.js';
import {OpsServer} from './ops/ops_server.js';
import {
  OPERATOR_PATH_PREFIX,
  OperatorEndpoint,
} from './operator/operator_endpoint.js';
import {IntentStore} from './services/intent_store.js';
import {ServiceHandler} from './services/service_handler.js';

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  callerPort: number;
  peerPort: number;
  opsPort: number;
}

/** Random bytes in the incarnation id of a daemon process. */
const INCARNATION_BYTES = 5;

/** Time limit for receiving the headers of a request, milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Idle time after which a caller's connection is closed, milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 5000;

/**
 * Longest time for which a starting daemon stays unready while it has no quota
 * slot, milliseconds.
 */
const MAX_QUOTA_SLOT_WAIT_MS = 5000;

/**
 * Heartbeat periods after which the other daemons know of this daemon's quota
 * slots.
 */
const PROPAGATION_HEARTBEATS = 1.5;

/**
 * Time for which a daemon that has left the fleet still answers other daemons,
 * milliseconds.
 */
const PEER_DRAIN_MS = 500;

/** Daemon of an entry host. */
export class Daemon {
  private readonly parts: DaemonParts;
  private readonly http: HttpServer;
  private readonly ops: OpsServer;
  private readonly stopping = new AbortController();
  private isLeaving = false;
  private readonly startedMs: number;
  /** When this host first had a quota slot, monotonic milliseconds. */
  private slotSinceMs: number | undefined;

  /**
   * @param options - settings, clock and log
   */
  constructor(private readonly options: DaemonOptions) {
    const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    this.startedMs = options.clock.now();
    this.parts = buildParts(options, incarnation);
    this.http = this.createHttpServer();
    this.ops = new OpsServer({
      metrics: this.parts.metrics,
      isReady: () => this.isReady(),
      getStatus: () => this.getStatus(),
    });
    this.parts.metrics.registerGauge('savoryspur_requests_active', {}, () =>
      this.http.countActive(),
    );
  }

  /**
   * Starts all components. The caller port opens last.
   *
   * @returns the ports that the listeners were bound to
   */
  async start(): Promise<DaemonPorts> {
    const {listen} = this.options.settings;
    const {fleet, distributor, slotAllocator, worker, orders, router} =
      this.parts;
    const opsPort = await this.ops.start(listen.address, listen.opsPort);
    const peerPort = await fleet.start(router);
    await distributor.pollOnce();
    void distributor.run(this.stopping.signal);
    slotAllocator.start();
    worker.start();
    void orders.service.run(this.stopping.signal);
    const callerPort = await this.http.start();
    return {callerPort, peerPort, opsPort};
  }

  /**
   * Tells whether the load balancer may send callers to this daemon: a
   * configuration is in force, and either the other daemons know of this host's
   * quota slots or {@link MAX_QUOTA_SLOT_WAIT_MS} have passed since the start.
   */
  isReady(): boolean {
    if (this.isLeaving || !this.parts.follower.getCurrent()) return false;
    const nowMs = this.options.clock.now();
    if (nowMs - this.startedMs > MAX_QUOTA_SLOT_WAIT_MS) return true;
    const {usableSlots, timing} = this.parts.fleet.getStatus();
    if (usableSlots === 0) return false;
    this.slotSinceMs ??= nowMs;
    return nowMs - this.slotSinceMs > PROPAGATION_HEARTBEATS * timing.periodMs;
  }

  /** Gets the status of all components, as the operations port shows it. */
  getStatus(): unknown {
    const {fleet, limiter, slotAllocator, worker, follower} = this.parts;
    return {
      host: this.options.settings.host.id,
      zone: this.options.settings.host.zone,
      incarnation: this.parts.incarnation,
      isReady: this.isReady(),
      configVersion: follower.getState().version,
      activeRequests: this.http.countActive(),
      fleet: fleet.getStatus(),
      limits: limiter.getStatus(),
      routing: slotAllocator.getStatus(),
      batch: worker.getStatus(),
    };
  }

  /**
   * Shuts down gracefully: fails the readiness check, lets running requests
   * complete, and hands batch chunks, leases and quota slots over to other
   * daemons.
   *
   * @returns whether every request ended before the drain timeout
   */
  async stop(): Promise<boolean> {
    this.isLeaving = true;
    this.options.log.record(DaemonEvent.DRAINING);
    const {drainMs} = this.options.settings.timeouts;
    const {fleet, slotAllocator, worker, orders, storage} = this.parts;
    const [isClean] = await Promise.all([
      this.http.stop(drainMs),
      worker.drain(),
    ]);
    await fleet.leave();
    await this.options.clock.sleep(PEER_DRAIN_MS);
    this.stopping.abort();
    await slotAllocator.stop();
    await orders.close();
    await fleet.stop();
    this.ops.stop();
    await storage.close();
    return isClean;
  }

  private createHttpServer(): HttpServer {
    const {settings, clock} = this.options;
    const {address, callerPort} = settings.listen;
    const services = this.createServiceHandler();
    const operators = new OperatorEndpoint(
      this.parts.operatorHandlers,
      settings.secrets.operator,
    );
    const router = new RequestRouter(this.createRoutes());
    const handle = (request: CallerRequest): Promise<void> => {
      if (request.path.startsWith(OPERATOR_PATH_PREFIX)) {
        return operators.handle(request);
      }
      const match = router.find(request.method, request.path);
      if (!match) return services.handle(request);
      return match.handler({...request, params: match.params});
    };
    const options = {
      address,
      port: callerPort,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
      minDrainMs: settings.timeouts.readyLagMs,
      idPrefix: this.parts.incarnation,
    };
    return new HttpServer(options, clock, handle);
  }

  private createRoutes(): HttpRoute[] {
    const {settings, clock} = this.options;
    const {follower, jobs} = this.parts;
    const online = new OnlineHandler({
      ...this.parts,
      settings,
      clock,
      environment: follower,
    });
    const modelRoutes = MODEL_PATHS.map((pattern) => ({
      method: 'POST',
      pattern,
      handler: (request: CallerRequest) => online.handle(request),
    }));
    return [
      ...modelRoutes,
      ...createModelRoutes(follower),
      ...createJobRoutes({
        environment: follower,
        jobs,
        maxBodyBytes: settings.limits.maxBodyBytes,
        stallTimeoutMs: settings.timeouts.betweenBytesMs,
      }),
    ];
  }

  private createServiceHandler(): ServiceHandler {
    const {settings, clock, log} = this.options;
    const {storage, incarnation, follower} = this.parts;
    const intents = new IntentStore(storage.table, clock, log, incarnation);
    return new ServiceHandler({
      ...this.parts,
      settings,
      clock,
      environment: follower,
      intents,
    });
  }
}
