/** Exchanges service-level reports between daemons. */
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

/** Typed client of the `report` router. */
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

/** Creates the `report` router. */
export function createReportRouter(recorder: ServiceLevelRecorder) {
  return createPeerRouter({
    levels: peerProcedure
      .input(createInputParser(validateServiceLevelQuery))
      .query(({input}) => recorder.encode(input)),
  });
}

/**
 * Fetches the service levels of one host.
 *
 * @param view - membership view with the address of the host
 * @param caller - caller of the other daemons
 * @param recorder - recorder of this host, which answers for it without a call
 * @param host - name of the host
 * @param query - series that are wanted
 * @returns the report, or undefined when the host is unknown, does not answer,
 *     or answers with an invalid report
 */
export async function fetchServiceLevels(
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
