/** Settings of routing; tests and proofs use shorter times. */

/** Times and limits of routing. */
export interface RoutingSettings {
  /** Period of the maintenance of all owners, milliseconds. */
  maintenancePeriodMs: number;
  /**
   * Longest wait of one acquire call (long poll), milliseconds; the holder then
   * sends the call again.
   */
  acquireLongPollMs: number;
  /**
   * Period at which an owner reads the load report of a server that gets new
   * work, milliseconds.
   */
  loadPollPeriodMs: number;
  /**
   * Period at which an owner reads the load report of a server that gets no new
   * work, milliseconds.
   */
  closedServerPollPeriodMs: number;
  /**
   * Longest time that a new owner waits for the answers of holders (grant
   * recovery), milliseconds.
   */
  recoveryTimeoutMs: number;
  /**
   * Delay before a new owner asks again the holders that did not answer,
   * milliseconds.
   */
  recoveryRetryDelayMs: number;
  /**
   * Event-loop pause of this process after which an owner recovers grants
   * again, milliseconds.
   */
  eventLoopPauseThresholdMs: number;
  /**
   * Time for which load reports count beside the grants after a change of owner
   * or after grants were dropped, milliseconds.
   */
  loadReportUseMs: number;
  /**
   * Period at which an owner compares its grants with the slots that holders
   * hold, milliseconds.
   */
  reconciliationPeriodMs: number;
  /** Time after which the grants of a dead holder are dropped, milliseconds. */
  deadHolderGraceMs: number;
  /**
   * Time after which a revocation without a release no longer counts as
   * pending, milliseconds; another slot may then be revoked instead.
   */
  revokeWaitMs: number;
  /** Maximum number of waiting requests of one class in one pool. */
  maxQueuedRequests: number;
  /**
   * Maximum number of waiting requests of one workspace and class in one pool.
   */
  maxQueuedRequestsPerWorkspace: number;
  /**
   * Maximum number of zones that are asked for one request besides the nearest
   * zone.
   */
  maxOtherZones: number;
  /**
   * Time after a crash for which a load report may still show the state before
   * the crash, milliseconds.
   */
  loadReportLagMs: number;
  /**
   * Period at which an owner reads the load report of a server while a crash
   * check is running or load reports count beside the grants, milliseconds.
   */
  urgentLoadPollPeriodMs: number;
  /** Longest duration of a crash check, milliseconds. */
  crashCheckTimeoutMs: number;
  /** Time after which a suspect expires, milliseconds. */
  suspectTermMs: number;
  /**
   * Time after which a quarantined request is no longer refused, milliseconds.
   */
  quarantineTermMs: number;
  /** Period at which the quarantine is read from the store, milliseconds. */
  quarantinePollPeriodMs: number;
  /** Whether batch work is preempted for online requests. */
  isBatchPreemptible: boolean;
}

/** Default settings of routing. */
export const DEFAULT_ROUTING_SETTINGS: RoutingSettings = {
  maintenancePeriodMs: 100,
  acquireLongPollMs: 400,
  loadPollPeriodMs: 2000,
  closedServerPollPeriodMs: 500,
  recoveryTimeoutMs: 1500,
  recoveryRetryDelayMs: 250,
  eventLoopPauseThresholdMs: 1000,
  loadReportUseMs: 5000,
  reconciliationPeriodMs: 10_000,
  deadHolderGraceMs: 5000,
  revokeWaitMs: 500,
  maxQueuedRequests: 2000,
  maxQueuedRequestsPerWorkspace: 500,
  maxOtherZones: 2,
  loadReportLagMs: 1000,
  urgentLoadPollPeriodMs: 100,
  crashCheckTimeoutMs: 10_000,
  suspectTermMs: 600_000,
  quarantineTermMs: 3_600_000,
  quarantinePollPeriodMs: 60_000,
  isBatchPreemptible: true,
};
