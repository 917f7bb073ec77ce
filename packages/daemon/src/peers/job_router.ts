/** Word of cancelled jobs between daemons. */
import {
  createInputParser,
  createPeerRouter,
  type MembershipView,
  type PeerCaller,
  peerProcedure,
} from '@savoryspur/fleet';
import {type CancelledJob, validateCancelledJob} from '@savoryspur/schema';

/** The part of the typed client that tells of cancelled jobs. */
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
 * Makes the router that is mounted as `batch`.
 *
 * @param cancelJob - stops the work on a job on this host
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

/** Calls in flight when telling all daemons of a cancelled job. */
const CONCURRENCY = 16;

/**
 * Tells all other daemons of a cancelled job. A lost message only costs time:
 * the workers read the job's row too.
 */
export async function publishCancelled(
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
  await Promise.all(Array.from({length: CONCURRENCY}, callNext));
}
