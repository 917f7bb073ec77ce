/** Root tRPC router for the calls between daemons. */
import {type ConfigPeerService, createConfigRouter} from '@savoryspur/config';
import {createPeerRouter, type FleetRouter} from '@savoryspur/fleet';
import type {LimitsRouter} from '@savoryspur/limits';
import {createRoutingRouter, type RoutingEndpoint} from '@savoryspur/routing';
import type {ServiceLevelRecorder} from '@savoryspur/report';
import {createJobRouter} from './job_router.js';
import {createReportRouter} from './report_router.js';

/** Components that answer the calls of other daemons. */
export interface AppServices {
  fleet: FleetRouter;
  limits: LimitsRouter;
  routing: RoutingEndpoint;
  config: ConfigPeerService;
  recorder: ServiceLevelRecorder;
  /** Stops the items of a cancelled job on this host. */
  cancelJob: (jobId: string) => void;
}

/** Creates the root router. */
export function createAppRouter(services: AppServices) {
  return createPeerRouter({
    fleet: services.fleet,
    limits: services.limits,
    routing: createRoutingRouter(services.routing),
    config: createConfigRouter(services.config),
    batch: createJobRouter(services.cancelJob),
    report: createReportRouter(services.recorder),
  });
}

/** Type of the root router, for typed clients. */
export type AppRouter = ReturnType<typeof createAppRouter>;
