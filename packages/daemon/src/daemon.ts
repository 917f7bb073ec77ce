/** One daemon: starts its parts in order and stops them without a cut. */
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
import {OPERATOR_PREFIX, OperatorMount} from './operator/operator_mount.js';
import {IntentStore} from './services/intent_store.js';
import {ServiceHandler} from './services/service_handler.js';

/** Ports that a daemon listens on. */
export interface DaemonPorts {
  callerPort: number;
  peerPort: number;
  opsPort: number;
}

/** Random bytes of the identity of one run. */
const INCARNATION_BYTES = 5;

/** Longest time for the headers of a request, milliseconds. */
const HEADERS_MS = 10_000;

/** Idle time after which a caller's connection is closed, milliseconds. */
const KEEP_ALIVE_MS = 5000;

/** Longest time for which a starting daemon waits for a slot, milliseconds. */
const SLOT_WAIT_MS = 5000;

/** Heartbeats after which the others know of the slots of this daemon. */
const SLOT_SETTLE_PERIODS = 1.5;

/** Time for which a leaving daemon still answers other daemons, milliseconds. */
const PEER_LINGER_MS = 500;

/** One daemon. */
export class Daemon {
  private readonly parts: DaemonParts;
  private readonly http: HttpServer;
  private readonly ops: OpsServer;
  private readonly stopping = new AbortController();
  private isLeaving = false;
  private readonly startedMs: number;
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
   * Starts all parts.
   *
   * @returns the ports that were bound
   */
  async start(): Promise<DaemonPorts> {
    const {listen} = this.options.settings;
    const {fleet, distributor, placer, worker, orders, router} = this.parts;
    const opsPort = await this.ops.start(listen.address, listen.opsPort);
    const peerPort = await fleet.start(router);
    await distributor.pollOnce();
    void distributor.run(this.stopping.signal);
    placer.start();
    worker.start();
    void orders.service.run(this.stopping.signal);
    const callerPort = await this.http.start();
    return {callerPort, peerPort, opsPort};
  }

  /**
   * Tells whether the balancer may send callers here: a configuration is in
   * force, and the host's slots are delegated or were waited for.
   */
  isReady(): boolean {
    if (this.isLeaving || !this.parts.follower.getCurrent()) return false;
    const nowMs = this.options.clock.now();
    if (nowMs - this.startedMs > SLOT_WAIT_MS) return true;
    const {usableSlots, timing} = this.parts.fleet.getStatus();
    if (usableSlots === 0) return false;
    this.slotSinceMs ??= nowMs;
    return nowMs - this.slotSinceMs > SLOT_SETTLE_PERIODS * timing.periodMs;
  }

  /** Gets the state of all parts for operators. */
  getStatus(): unknown {
    const {fleet, limiter, placer, worker, follower} = this.parts;
    return {
      host: this.options.settings.host.id,
      zone: this.options.settings.host.zone,
      incarnation: this.parts.incarnation,
      isReady: this.isReady(),
      configVersion: follower.getState().version,
      activeRequests: this.http.countActive(),
      fleet: fleet.getStatus(),
      limits: limiter.getStatus(),
      routing: placer.getStatus(),
      batch: worker.getStatus(),
    };
  }

  /**
   * Stops gracefully: fails readiness, ends running requests, hands over
   * chunks, leases and slots.
   *
   * @returns whether no request was cut
   */
  async stop(): Promise<boolean> {
    this.isLeaving = true;
    this.options.log.record(DaemonEvent.DRAINING);
    const {drainMs} = this.options.settings.timeouts;
    const {fleet, placer, worker, orders, platform} = this.parts;
    const [isClean] = await Promise.all([
      this.http.stop(drainMs),
      worker.drain(),
    ]);
    await fleet.leave();
    await this.options.clock.sleep(PEER_LINGER_MS);
    this.stopping.abort();
    await placer.stop();
    await orders.close();
    await fleet.stop();
    this.ops.stop();
    await platform.close();
    return isClean;
  }

  private createHttpServer(): HttpServer {
    const {settings, clock} = this.options;
    const {address, callerPort} = settings.listen;
    const services = this.createServiceHandler();
    const operators = new OperatorMount(
      this.parts.operatorHandlers,
      settings.secrets.operator,
    );
    const router = new RequestRouter(this.createRoutes());
    const handle = (request: CallerRequest): Promise<void> => {
      if (request.path.startsWith(OPERATOR_PREFIX)) {
        return operators.handle(request);
      }
      const match = router.find(request.method, request.path);
      if (!match) return services.handle(request);
      return match.handler({...request, params: match.params});
    };
    const options = {
      address,
      port: callerPort,
      headersMs: HEADERS_MS,
      keepAliveMs: KEEP_ALIVE_MS,
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
        stallMs: settings.timeouts.betweenBytesMs,
      }),
    ];
  }

  private createServiceHandler(): ServiceHandler {
    const {settings, clock, log} = this.options;
    const {platform, incarnation, follower} = this.parts;
    const intents = new IntentStore(platform.table, clock, log, incarnation);
    return new ServiceHandler({
      ...this.parts,
      settings,
      clock,
      environment: follower,
      intents,
    });
  }
}
