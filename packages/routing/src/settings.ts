/** Terms and bounds of routing; tests and proofs shorten them. */

/** Terms and bounds of routing. */
export interface RoutingSettings {
  /** Period of the work that no message triggers, milliseconds. */
  tickMs: number;
  /** Longest wait of one acquire call before it is sent again, milliseconds. */
  acquirePollMs: number;
  /** Period at which an owner reads the load of its servers, milliseconds. */
  loadPollMs: number;
  /** Period at which a server that is closed is read, milliseconds. */
  closedPollMs: number;
  /** Longest wait for the holders after a change of owner, milliseconds. */
  settleMs: number;
  /** Time to the next try at holders that did not answer, milliseconds. */
  settleRetryMs: number;
  /** Pause of this process after which an owner settles anew, milliseconds. */
  pauseMs: number;
  /** Time for which load reports count after a change of owner, milliseconds. */
  trustReportMs: number;
  /** Period at which an owner compares its grants with holders, milliseconds. */
  reconcileMs: number;
  /** Time after which grants of a dead holder are dropped, milliseconds. */
  deadHolderMs: number;
  /** Time after which a revocation without effect is followed by another. */
  revokeMs: number;
  /** Waiting requests of one class in one pool. */
  maxQueued: number;
  /** Waiting requests of one workspace and class in one pool. */
  maxQueuedPerWorkspace: number;
  /** Other zones that are asked for one request. */
  maxOtherZones: number;
  /** Lag of load reports after a crash, milliseconds. */
  reportLagMs: number;
  /** Period at which a server that may have crashed is read, milliseconds. */
  verdictPollMs: number;
  /** Longest wait for the proof that a server crashed, milliseconds. */
  verdictMs: number;
  /** Term of a suspicion, milliseconds. */
  suspectMs: number;
  /** Term of a quarantine, milliseconds. */
  quarantineMs: number;
  /** Period at which the quarantine is read from the table, milliseconds. */
  quarantinePollMs: number;
  /** Whether batch work yields places to online requests. */
  isBatchPreemptible: boolean;
}

/** Terms and bounds unless settings say otherwise. */
export const DEFAULT_ROUTING_SETTINGS: RoutingSettings = {
  tickMs: 100,
  acquirePollMs: 400,
  loadPollMs: 2000,
  closedPollMs: 500,
  settleMs: 1500,
  settleRetryMs: 250,
  pauseMs: 1000,
  trustReportMs: 5000,
  reconcileMs: 10_000,
  deadHolderMs: 5000,
  revokeMs: 500,
  maxQueued: 2000,
  maxQueuedPerWorkspace: 500,
  maxOtherZones: 2,
  reportLagMs: 1000,
  verdictPollMs: 100,
  verdictMs: 10_000,
  suspectMs: 600_000,
  quarantineMs: 3_600_000,
  quarantinePollMs: 60_000,
  isBatchPreemptible: true,
};
