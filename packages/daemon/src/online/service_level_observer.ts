/** Observers of online requests: service levels, and lists of observers. */
import {ErrorCode, type EnvironmentSource} from '@savoryspur/common';
import {RequestOutcome, type ServiceLevelRecorder} from '@savoryspur/report';
import type {Pool} from '@savoryspur/schema';
import type {OnlineObservation, OnlineObserver} from './observer.js';

/**
 * Error codes caused by callers. Requests that end with one of them are left
 * out of the service levels.
 */
const CALLER_FAULT_CODES = new Set<ErrorCode>([
  ErrorCode.INVALID_INPUT,
  ErrorCode.NOT_FOUND,
  ErrorCode.CONFLICT,
  ErrorCode.CANCELLED,
  ErrorCode.QUARANTINED,
]);

/** Records online requests against the latency objectives of their pool. */
export class ServiceLevelObserver implements OnlineObserver {
  /**
   * @param environment - configuration with the objectives
   * @param recorder - recorder of the service levels
   */
  constructor(
    private readonly environment: EnvironmentSource,
    private readonly recorder: ServiceLevelRecorder,
  ) {}

  /** {@inheritDoc OnlineObserver.record} */
  record(observation: OnlineObservation): void {
    const {workspace, route, code, isWithinRate} = observation;
    if (code !== undefined && CALLER_FAULT_CODES.has(code)) return;
    const pool = this.findPool(route);
    if (!pool) return;
    this.recorder.record({
      workspace,
      target: route,
      outcome: chooseOutcome(code, isWithinRate ?? false),
      firstTokenMs: observation.firstTokenMs,
      betweenTokensMs: observation.betweenTokensMs,
      objectives: {
        firstTokenMs: pool.firstTokenMs,
        betweenTokensMs: pool.betweenTokensMs,
      },
    });
  }

  private findPool(route: string): Pool | undefined {
    const index = this.environment.getCurrent();
    const name = index?.findModel(route)?.pool ?? index?.findRoute(route)?.pool;
    return name === undefined ? undefined : index?.findPool(name);
  }
}

function chooseOutcome(
  code: ErrorCode | undefined,
  isWithinRate: boolean,
): RequestOutcome {
  if (code === undefined) return RequestOutcome.ANSWERED;
  if (code !== ErrorCode.RATE_LIMITED) return RequestOutcome.FAILED;
  return isWithinRate
    ? RequestOutcome.REFUSED_WRONGFUL
    : RequestOutcome.REFUSED_RIGHTFUL;
}

/** Passes each observation to several observers. */
export class ObserverList implements OnlineObserver {
  /**
   * @param observers - observers, called in this order
   */
  constructor(private readonly observers: readonly OnlineObserver[]) {}

  /** {@inheritDoc OnlineObserver.record} */
  record(observation: OnlineObservation): void {
    for (const observer of this.observers) observer.record(observation);
  }
}
