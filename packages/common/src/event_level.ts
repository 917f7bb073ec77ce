/** Severity levels and catalogue entries of log events. */

/** Severity of a log event. */
export enum EventLevel {
  DEBUG = 'debug',
  INFO = 'info',
  WARN = 'warn',
  ERROR = 'error',
}

/** Entry of the event catalogue, which defines one log event. */
export interface EventDefinition {
  /** Severity of the event. */
  level: EventLevel;
  /** What happened, as a sentence for operators. */
  text: string;
  /** What an operator should do; absent when no action is needed. */
  action?: string;
}
