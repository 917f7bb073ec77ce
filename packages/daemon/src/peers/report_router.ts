/** Service levels between daemons. */
import {
  createInputParser,
  createPeerRouter,
  type MembershipView,
  type PeerCaller,
  peerProcedure,
} from '@savoryspur/fleet';
import type {ServiceLevelRecorder} from '@savoryspur/report';
import {
  type ServiceLevelQuery,
  type ServiceLevelReport,
  validateServiceLevelQuery,
  validateServiceLevelReport,
} from '@savoryspur/schema';

/** The part of the typed client that asks for service levels. */
export interface ReportPeerClient {
  report: {
    levels: {
      query(
        input: ServiceLevelQuery,
        options: {signal: AbortSignal},
      ): Promise<ServiceLevelReport>;
    };
  };
}

/** Makes the router that is mounted as `report`. */
export function createReportRouter(recorder: ServiceLevelRecorder) {
  return createPeerRouter({
    levels: peerProcedure
      .input(createInputParser(validateServiceLevelQuery))
      .query(({input}) => recorder.encode(input)),
  });
}

/**
 * Asks one host for its service levels.
 *
 * @returns its report, or undefined when it does not answer
 */
export async function fetchLevels(
  view: MembershipView,
  caller: PeerCaller<ReportPeerClient>,
  recorder: ServiceLevelRecorder,
  host: string,
  query: ServiceLevelQuery,
): Promise<ServiceLevelReport | undefined> {
  if (host === view.self.host) return recorder.encode(query);
  const peers = view.listZones().flatMap((zone) => view.listAlive(zone));
  const peer = peers.find((candidate) => candidate.host === host);
  if (!peer) return undefined;
  const answer = await caller.request(peer, 'report.levels', (client, signal) =>
    client.report.levels.query(query, {signal}),
  );
  if (answer.isErr()) return undefined;
  return validateServiceLevelReport(answer.value).unwrapOr(undefined);
}
