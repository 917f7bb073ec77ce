/** Online observations as service levels. */
import {ErrorCode, type EnvironmentSource} from '@savoryspur/common';
import {RequestOutcome, type ServiceLevelRecorder} from '@savoryspur/report';
import type {Pool} from '@savoryspur/schema';
import type {OnlineObservation, OnlineObserver} from './observer.js';

/** Codes for which the caller is answerable; they count as answered. */
const CALLER_CODES = new Set<ErrorCode>([
  ErrorCode.INVALID_INPUT,
  ErrorCode.NOT_FOUND,
  ErrorCode.CONFLICT,
  ErrorCode.CANCELLED,
  ErrorCode.QUARANTINED,
]);

/** Records each online request against the objectives of its pool. */
export class LevelObserver implements OnlineObserver {
  /**
   * @param environment - objectives
   * @param recorder - takes the records
   */
  constructor(
    private readonly environment: EnvironmentSource,
    private readonly recorder: ServiceLevelRecorder,
  ) {}

  /** {@inheritDoc OnlineObserver.record} */
  record(observation: OnlineObservation): void {
    const {workspace, route, code, isWithinRate} = observation;
    if (code !== undefined && CALLER_CODES.has(code)) return;
    const pool = this.findPool(route);
    if (!pool) return;
    this.recorder.record({
      workspace,
      target: route,
      end: chooseEnd(code, isWithinRate ?? false),
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

function chooseEnd(
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
   * @param observers - in the order of the calls
   */
  constructor(private readonly observers: readonly OnlineObserver[]) {}

  /** {@inheritDoc OnlineObserver.record} */
  record(observation: OnlineObservation): void {
    for (const observer of this.observers) observer.record(observation);
  }
}
