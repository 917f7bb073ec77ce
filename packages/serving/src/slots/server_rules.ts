/** The server rules of the pools that this daemon owns, with their log events and counts. */
import {type Clock, type EventLog, ServingEvent} from '@savoryspur/common';
import type {PaceChange} from './server_pace.js';
import {ServerRule, type ServerRuleCounts} from './server_rule.js';

/** Window in which the events are counted, milliseconds. */
const EVENT_WINDOW_MS = 10_000;

/** Most events in a window; the next one after it has the number of those left out. */
const MAX_EVENTS_PER_WINDOW = 40;

/** Creates the {@link ServerRule} of each pool. */
export class ServerRules {
  private readonly rules = new Map<string, ServerRule>();
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private windowEvents = 0;
  private omittedEvents = 0;

  /**
   * @param clock - source of time
   * @param log - event log
   */
  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly log: Pick<EventLog, 'record'>,
  ) {}

  /** Creates the rule of the pool of a service. */
  create(service: string): ServerRule {
    const rule = new ServerRule((change) => this.recordChange(service, change));
    this.rules.set(service, rule);
    return rule;
  }

  /** Gets one of the counts of servers of a pool that this daemon owns or has owned; 0 for other pools. */
  count(service: string, kind: keyof ServerRuleCounts): number {
    return this.rules.get(service)?.count()[kind] ?? 0;
  }

  private recordChange(service: string, change: PaceChange): void {
    const nowMs = this.clock.now();
    if (nowMs - this.windowStartMs >= EVENT_WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.windowEvents = 0;
    }
    this.windowEvents += 1;
    if (this.windowEvents > MAX_EVENTS_PER_WINDOW) {
      this.omittedEvents += 1;
      return;
    }
    const {serverId, cause, isBegin, durationMs} = change;
    const event = isBegin
      ? ServingEvent.SERVER_PACE_BEGAN
      : ServingEvent.SERVER_PACE_ENDED;
    this.log.record(event, {
      peer: serverId,
      pool: service,
      cause,
      ...(!isBegin && {durationMs: Math.round(durationMs)}),
      ...(this.omittedEvents > 0 && {omittedEvents: this.omittedEvents}),
    });
    this.omittedEvents = 0;
  }
}
