/** Tells which requests may be the cause of a server's crash. */
import {SlotTrafficClass} from '@savoryspur/schema';

/**
 * Whether a request of a class can cause the crash of a server. A batch item
 * never does: it is owed to its caller, so it is run again however many servers
 * crashed with it in flight.
 */
const CAN_CRASH_SERVERS: Record<SlotTrafficClass, boolean> = {
  [SlotTrafficClass.ONLINE]: true,
  [SlotTrafficClass.BATCH]: false,
};

/** The fields of a request, or of a slot in use, that decide. */
export interface CrashCandidate {
  trafficClass: SlotTrafficClass;
  /** Fingerprint of the request. */
  fingerprint: string;
}

/**
 * Gets the fingerprint by which a request is suspected, blocked and
 * quarantined.
 *
 * @param candidate - the request, or a slot in use
 * @returns the fingerprint of the request; empty, which matches no suspect, for
 *     a request that can't cause a crash
 */
export function getCrashFingerprint(candidate: CrashCandidate): string {
  const {trafficClass, fingerprint} = candidate;
  return CAN_CRASH_SERVERS[trafficClass] ? fingerprint : '';
}
