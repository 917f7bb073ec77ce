/** Notifies other daemons of cancelled batch jobs. */
import {
  createInputParser,
  createPeerRouter,
  type MembershipView,
  type PeerCaller,
  peerProcedure,
} from '@savoryspur/fleet';
import {type CancelledJob, validateCancelledJob} from '@savoryspur/schema';

/** Typed client of the `batch` router. */
export interface JobPeerClient {
  batch: {
    cancelled: {
      mutate(
        input: CancelledJob,
        options: {signal: AbortSignal},
      ): Promise<null>;
    };
  };
}

/**
 * Creates the `batch` router.
 *
 * @param cancelJob - stops the items of a cancelled job on this host
 */
export function createJobRouter(cancelJob: (jobId: string) => void) {
  return createPeerRouter({
    cancelled: peerProcedure
      .input(createInputParser(validateCancelledJob))
      .mutation(({input}) => {
        cancelJob(input.jobId);
        return null;
      }),
  });
}

/** Maximum number of concurrent calls while all daemons are notified of a cancelled job. */
const MAX_CONCURRENT_CALLS = 16;

/**
 * Notifies all other daemons of a cancelled job, best effort. A daemon that
 * misses the notification stops the job later, when its worker reads the job's
 * row.
 */
export async function publishCancelledJob(
  view: MembershipView,
  caller: PeerCaller<JobPeerClient>,
  jobId: string,
): Promise<void> {
  const peers = view
    .listZones()
    .flatMap((zone) => view.listAlive(zone))
    .filter((peer) => peer.host !== view.self.host);
  const callNext = async (): Promise<void> => {
    for (let peer = peers.pop(); peer; peer = peers.pop()) {
      await caller.request(peer, 'batch.cancelled', (client, signal) =>
        client.batch.cancelled.mutate({jobId}, {signal}),
      );
    }
  };
  await Promise.all(Array.from({length: MAX_CONCURRENT_CALLS}, callNext));
}
