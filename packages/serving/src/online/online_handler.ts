/** Takes online requests: route, key, rate, then the exchange with servers. */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import type {ServiceRegistry} from '../service_registry.js';
import {
  chooseTarget,
  type EnvironmentView,
  type Route,
  type Workspace,
} from '../environment.js';
import type {RateClient} from '../limits/rate_client.js';
import type {RateDecision} from '../limits/rate_pool.js';
import type {RequestClass, ServingMetrics} from '../serving_metrics.js';
import type {SlotAllocator} from '../slots/slot_allocator.js';
import type {RequestQuarantine} from './request_quarantine.js';
import {OnlineExchange} from './online_exchange.js';
import {
  type AnswerWriter,
  type OnlineRequest,
  type Refusal,
  RefusalCode,
  type ServerCaller,
} from './online_types.js';

/** Wait that is asked of callers before the first environment is known, milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Wait that is asked of callers whose request is quarantined, milliseconds: no retry within a deadline helps. */
const QUARANTINE_RETRY_MS = 60_000;

/** What the handling of online requests needs. */
export interface OnlineParts {
  clock: Clock;
  log: EventLog;
  metrics: ServingMetrics;
  registry: ServiceRegistry<EnvironmentView>;
  rates: RateClient;
  placer: SlotAllocator;
  servers: ServerCaller;
  crashes: RequestQuarantine;
  /** Availability zone of this daemon. */
  zone: string;
  /** Gives a random number from 0 up to 1. */
  random: () => number;
}

/** What was found out about a request before it is placed. */
export interface OnlinePlan {
  route: Route;
  workspace?: Workspace;
  service: string;
  priority: number;
  environmentVersion: number;
}

/** Handles online requests. */
export class OnlineHandler {
  /**
   * @param parts - collaborators
   */
  constructor(private readonly parts: OnlineParts) {}

  /**
   * Finds the route and the workspace of a request, or why it is refused.
   *
   * @param request - host, path and key
   */
  resolve(
    request: Pick<OnlineRequest, 'host' | 'path' | 'apiKey'>,
  ): OnlinePlan | Refusal {
    const environment = this.parts.registry.getEnvironment();
    if (!environment) {
      return {
        code: RefusalCode.NOT_READY,
        message: 'no environment is known yet',
        retryAfterMs: NOT_READY_RETRY_MS,
      };
    }
    const route = environment.findRoute(request.host, request.path);
    if (!route) {
      return {code: RefusalCode.NO_ROUTE, message: 'no route matches'};
    }
    const workspace =
      request.apiKey === undefined
        ? undefined
        : environment.findWorkspaceByKey(request.apiKey);
    if (environment.needsKeys && !route.isPublic && !workspace) {
      return {code: RefusalCode.UNKNOWN_KEY, message: 'the key is unknown'};
    }
    const service = chooseTarget(route.targets, this.parts.random());
    if (service === undefined) {
      return {code: RefusalCode.NO_ROUTE, message: 'the route has no service'};
    }
    return {
      route,
      workspace,
      service,
      priority: workspace?.priority ?? route.priority,
      environmentVersion: environment.document.version,
    };
  }

  /**
   * Answers a request.
   *
   * @param request - the request with its body
   * @param plan - what {@link resolve} found
   * @param answer - where the answer goes
   */
  async handle(
    request: OnlineRequest,
    plan: OnlinePlan | Refusal,
    answer: AnswerWriter,
  ): Promise<void> {
    if ('code' in plan) return this.refuse(request, answer, plan, {});
    if (this.isQuarantined(request, plan)) {
      const refusal: Refusal = {
        code: RefusalCode.QUARANTINED,
        message: 'the request broke several servers',
        retryAfterMs: QUARANTINE_RETRY_MS,
      };
      const {workspace, route} = plan;
      return this.refuse(request, answer, refusal, {
        workspace: workspace?.name,
        route: route.name,
      });
    }
    const admission = await this.parts.rates.admit(plan.workspace);
    if (!admission.isAdmitted) {
      return this.refuseOverRate(request, plan, admission, answer);
    }
    await new OnlineExchange(this.parts, request, answer, plan).run();
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
      message: 'the workspace is over its rate',
      retryAfterMs: admission.retryAfterMs,
    };
    const requestClass = {kind: route.kind, priority};
    const inputs = {
      workspace: workspace?.name,
      route: route.name,
      ratePerSecond: workspace?.ratePerSecond,
      burst: workspace?.burst,
      share: admission.share,
    };
    this.refuse(request, answer, refusal, inputs, requestClass);
  }

  private isQuarantined(request: OnlineRequest, plan: OnlinePlan): boolean {
    return this.parts.crashes.isQuarantined({
      workspace: plan.workspace?.name,
      path: request.target,
      body: request.body,
    });
  }

  private refuse(
    request: OnlineRequest,
    answer: AnswerWriter,
    refusal: Refusal,
    inputs: Record<string, unknown>,
    requestClass?: RequestClass,
  ): void {
    this.parts.metrics.recordRefusal(refusal.code, requestClass);
    this.parts.log.record(ServingEvent.REQUEST_REFUSED, {
      requestId: request.requestId,
      ...inputs,
      code: refusal.code,
      reason: refusal.message,
      retryAfterMs: refusal.retryAfterMs,
      environmentVersion:
        this.parts.registry.getEnvironment()?.document.version,
    });
    answer.refuse(refusal);
  }
}
