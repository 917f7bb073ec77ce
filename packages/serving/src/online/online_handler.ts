/**
 * Handles online requests: finds the route, checks the API key, the quarantine and
 * the rate limit, then runs the request on backend servers.
 */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import type {ServiceRegistry} from '../service_registry.js';
import {
  chooseTarget,
  type EnvironmentView,
  type Route,
  type Workspace,
} from '../environment.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import type {RateClient} from '../limits/rate_client.js';
import type {RateDecision} from '../limits/rate_limiter.js';
import type {RequestClass, ServingMetrics} from '../serving_metrics.js';
import type {SlotAllocator} from '../slots/slot_allocator.js';
import type {StreamOrigin} from '@savoryspur/schema';
import type {OriginLookup, StreamOrigins} from './stream_origins.js';
import type {OverdueTimes} from './overdue_times.js';
import type {PromptQuarantine} from './prompt_quarantine.js';
import type {ReachabilityMonitor} from './reachability_monitor.js';
import type {RequestQuarantine} from './request_quarantine.js';
import {OnlineExchange} from './online_exchange.js';
import {
  type AnswerWriter,
  type OnlineRequest,
  QUARANTINE_REFUSAL,
  type Refusal,
  RefusalCode,
  type ServerCaller,
} from './online_types.js';

/** Retry-After of requests that arrive before the first environment is loaded, milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500;

/** Refusal of a take-up whose stream began at a version that is not known. */
const UNKNOWN_ORIGIN_REFUSAL: Refusal = {
  code: RefusalCode.NOT_RUN,
  message: 'the software version that began the stream is not known',
  retryAfterMs: 500,
};

/** Components that the handling of online requests uses. */
export interface OnlineHandlerOptions {
  clock: Clock;
  log: EventLog;
  metrics: ServingMetrics;
  registry: ServiceRegistry<EnvironmentView>;
  rates: RateClient;
  /** Allocates slots on backend servers. */
  slotAllocator: SlotAllocator;
  servers: ServerCaller;
  /** Tells when servers have last responded. */
  reachability: Pick<ReachabilityMonitor, 'getLastResponseMs'>;
  /** Quarantine of requests that crash servers. */
  quarantine: RequestQuarantine;
  /** Quarantine of prompt parts that crash servers. */
  promptQuarantine: PromptQuarantine;
  /** Times after which servers are overdue. */
  overdueTimes: OverdueTimes;
  /** Software versions of streams. */
  streamOrigins: StreamOrigins;
  /** Memory budget of this daemon. */
  memory: MemoryBudget;
  /** Availability zone of this daemon. */
  zone: string;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
}

/** Route, workspace and service of a request, as resolved before a slot is acquired. */
export interface OnlinePlan {
  route: Route;
  /** Workspace of the API key; absent when the request has no known key. */
  workspace?: Workspace;
  service: string;
  /** Maximum number of connections to each server of the service, for use after the service is gone. */
  maxConnections: number;
  /** Priority of the workspace or else of the route; 0 is the most urgent. */
  priority: number;
  environmentVersion: number;
  /** Servers that began the stream which the request takes up, the only ones that may continue it; any when undefined. */
  origin?: StreamOrigin;
}

/** Handles the online requests of one daemon. */
export class OnlineHandler {
  /**
   * @param options - components that the handler uses
   */
  constructor(private readonly options: OnlineHandlerOptions) {}

  /**
   * Resolves the route, workspace and service of a request.
   *
   * @param request - host, path without query and API key of the request
   * @returns what was resolved, or the refusal to answer with
   */
  resolve(
    request: Pick<OnlineRequest, 'host' | 'path' | 'apiKey'>,
  ): OnlinePlan | Refusal {
    const environment = this.options.registry.getEnvironment();
    if (!environment) {
      return {
        code: RefusalCode.NOT_READY,
        message: 'no environment is loaded yet',
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      };
    }
    const route = environment.findRoute(request.host, request.path);
    if (!route) {
      return {
        code: RefusalCode.NO_ROUTE,
        message: 'no route matches the request',
      };
    }
    const workspace =
      request.apiKey === undefined
        ? undefined
        : environment.findWorkspaceByKey(request.apiKey);
    if (environment.needsKeys && !route.isPublic && !workspace) {
      return {code: RefusalCode.UNKNOWN_KEY, message: 'the key is unknown'};
    }
    const service = chooseTarget(route.targets, this.options.random());
    if (service === undefined) {
      return {code: RefusalCode.NO_ROUTE, message: 'the route has no service'};
    }
    return {
      route,
      workspace,
      service,
      maxConnections: environment.findService(service)?.maxConnections ?? 1,
      priority: workspace?.priority ?? route.priority,
      environmentVersion: environment.document.version,
    };
  }

  /**
   * Answers a request.
   *
   * @param request - the request with its body
   * @param plan - result of {@link resolve} for the request
   * @param answer - writes the answer to the caller
   */
  async handle(
    request: OnlineRequest,
    plan: OnlinePlan | Refusal,
    answer: AnswerWriter,
  ): Promise<void> {
    if ('code' in plan) return this.refuse(request, answer, plan, {});
    if (this.isQuarantined(request, plan)) {
      const {workspace, route} = plan;
      return this.refuse(request, answer, QUARANTINE_REFUSAL, {
        workspace: workspace?.name,
        route: route.name,
      });
    }
    const boundPlan = await this.resolveOrigin(request, plan);
    if (!boundPlan) {
      const {workspace, route} = plan;
      return this.refuse(request, answer, UNKNOWN_ORIGIN_REFUSAL, {
        workspace: workspace?.name,
        route: route.name,
      });
    }
    const admission = await this.options.rates.admit(plan.workspace);
    if (!admission.isAdmitted) {
      return this.refuseOverRate(request, plan, admission, answer);
    }
    await new OnlineExchange(this.options, request, answer, boundPlan).run();
  }

  /**
   * Binds a request that takes a stream up to the servers that began the stream.
   *
   * @returns the plan, or undefined when these servers can't be known
   */
  private async resolveOrigin(
    request: OnlineRequest,
    plan: OnlinePlan,
  ): Promise<OnlinePlan | undefined> {
    if (request.resumeAfter === undefined) return plan;
    const services = plan.route.targets.map(({service}) => service);
    const lookup = await this.options.streamOrigins.find(
      request.firstAttemptId,
      services,
    );
    this.recordTakeUp(request, plan, lookup);
    if (lookup.kind === 'unknown') return undefined;
    if (lookup.kind === 'any') return plan;
    const {origin} = lookup;
    // A route that was moved to another service has no versions in common with it.
    if (!services.includes(origin.service)) return plan;
    return {...plan, service: origin.service, origin};
  }

  private recordTakeUp(
    request: OnlineRequest,
    plan: OnlinePlan,
    lookup: OriginLookup,
  ): void {
    this.options.log.record(ServingEvent.STREAM_TAKEN_UP, {
      requestId: request.requestId,
      workspace: plan.workspace?.name,
      firstAttemptId: request.firstAttemptId,
      lastEventId: request.resumeAfter,
      origin: lookup.kind === 'known' ? lookup.origin : lookup.kind,
    });
  }

  private refuseOverRate(
    request: OnlineRequest,
    plan: OnlinePlan,
    admission: RateDecision,
    answer: AnswerWriter,
  ): void {
    const {workspace, route, priority} = plan;
    const refusal: Refusal = {
      code: RefusalCode.OVER_RATE,
      message: 'the workspace exceeds its request rate',
      retryAfterMs: admission.retryAfterMs,
    };
    const requestClass = {kind: route.kind, priority};
    const logFields = {
      workspace: workspace?.name,
      route: route.name,
      ratePerSecond: workspace?.ratePerSecond,
      burst: workspace?.burst,
      share: admission.share,
    };
    this.refuse(request, answer, refusal, logFields, requestClass);
  }

  private isQuarantined(request: OnlineRequest, plan: OnlinePlan): boolean {
    const {quarantine, promptQuarantine} = this.options;
    if (promptQuarantine.isQuarantined(request.prefix)) return true;
    return quarantine.isQuarantined({
      workspace: plan.workspace?.name,
      path: request.target,
      body: request.body,
    });
  }

  private refuse(
    request: OnlineRequest,
    answer: AnswerWriter,
    refusal: Refusal,
    logFields: Record<string, unknown>,
    requestClass?: RequestClass,
  ): void {
    this.options.metrics.recordRefusal(refusal.code, requestClass);
    this.options.log.record(ServingEvent.REQUEST_REFUSED, {
      requestId: request.requestId,
      ...logFields,
      code: refusal.code,
      reason: refusal.message,
      retryAfterMs: refusal.retryAfterMs,
      environmentVersion:
        this.options.registry.getEnvironment()?.document.version,
    });
    answer.refuse(refusal);
  }
}
