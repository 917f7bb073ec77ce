/** HTTP interface of the model engine and its control API, on one port. */
import type {Clock} from '@savoryspur/common';
import {
  validateColdControl,
  validateEngineFaults,
  validateEngineTuning,
  validateRequestSearchQuery,
  validateStandInOrderRequest,
} from '@savoryspur/schema';
import {
  createJsonAnswer,
  HttpStandIn,
  parseBody,
  type StandInAnswer,
  type StandInHandler,
  type StandInRequest,
  type StandInRoute,
} from '../http_stand_in.js';
import type {StartedStandIn} from '../stand_in.js';
import {Engine, type EngineOptions} from './engine.js';
import {EngineAnswers} from './engine_answers.js';
import {StreamEnd} from './engine_stream.js';

/** Model engine that is served over HTTP. */
export class EngineStandIn {
  private readonly engine: Engine;
  private readonly answers: EngineAnswers;
  private readonly server: HttpStandIn;

  /**
   * @param options - speed, capacity and behaviour
   * @param clock - clock of all delays and reports
   */
  constructor(options: EngineOptions, clock: Clock) {
    this.server = new HttpStandIn([
      ...this.listRequestRoutes(),
      ...this.listStateRoutes(),
      ...this.listControlRoutes(),
    ]);
    this.engine = new Engine(options, clock, () =>
      this.server.resetConnections(),
    );
    this.answers = new EngineAnswers(this.engine, options.failMarker, clock);
  }

  /**
   * Starts listening.
   *
   * @param port - port to listen on; 0 lets the system choose
   */
  async start(port: number): Promise<StartedStandIn> {
    const listeningPort = await this.server.start(port);
    const stopping = new AbortController();
    void this.engine.updateLoadReport(stopping.signal);
    const close = (): Promise<void> => {
      stopping.abort();
      return this.server.close();
    };
    return {port: listeningPort, close};
  }

  private listRequestRoutes(): StandInRoute[] {
    return [
      this.createRoute('POST', /^\/v1\/(chat\/)?completions$/, (r) =>
        this.answers.complete(r),
      ),
      this.createRoute('GET', /^\/v1\/streams\/([^/]+)$/, (r) =>
        this.answers.resume(r),
      ),
      this.createRoute('POST', /^\/v1\/streams\/([^/]+)\/cancel$/, (r) => {
        this.engine.findStream(r.groups[0]!)?.finish(StreamEnd.CANCELLED);
        return {statusCode: 204};
      }),
    ];
  }

  private listStateRoutes(): StandInRoute[] {
    const {createRoute} = this;
    return [
      createRoute.call(this, 'GET', /^\/health$/, () => createJsonAnswer({})),
      createRoute.call(this, 'GET', /^\/v1\/load$/, () =>
        createJsonAnswer(this.engine.getLoadReport()),
      ),
      createRoute.call(this, 'GET', /^\/v1\/cache\/events$/, (r) => {
        const afterSequence = Number(r.url.searchParams.get('after') ?? 0);
        return createJsonAnswer({
          events: this.engine.cache.listEvents(afterSequence),
        });
      }),
      createRoute.call(this, 'GET', /^\/v1\/orders$/, () => {
        const {fencing, models, role} = this.engine.orders;
        return createJsonAnswer({fencing, models, role});
      }),
      createRoute.call(this, 'POST', /^\/v1\/orders$/, (r) =>
        this.applyOrder(r),
      ),
    ];
  }

  private listControlRoutes(): StandInRoute[] {
    const createControlRoute = (
      method: string,
      path: RegExp,
      run: (body: Buffer) => unknown,
    ): StandInRoute => ({
      method,
      path,
      handle: ({body}) => createJsonAnswer(run(body) ?? {}),
    });
    return [
      createControlRoute('GET', /^\/control\/stats$/, () =>
        this.engine.report(),
      ),
      createControlRoute('GET', /^\/control\/arrivals$/, () =>
        this.engine.record.listArrivals(),
      ),
      createControlRoute('POST', /^\/control\/seen$/, (body) =>
        this.engine.record.findText(
          parseBody(body, validateRequestSearchQuery).text,
        ),
      ),
      createControlRoute('POST', /^\/control\/faults$/, (body) =>
        this.engine.faults.set(parseBody(body, validateEngineFaults)),
      ),
      createControlRoute('POST', /^\/control\/tuning$/, (body) =>
        this.engine.load.adjust(parseBody(body, validateEngineTuning)),
      ),
      createControlRoute('POST', /^\/control\/cold$/, (body) =>
        this.engine.load.setCold(parseBody(body, validateColdControl).graceMs),
      ),
      createControlRoute('POST', /^\/control\/warm$/, () =>
        this.engine.load.setWarm(),
      ),
      createControlRoute('POST', /^\/control\/crash$/, () =>
        this.engine.fail(),
      ),
    ];
  }

  /** Creates a route that resets its connection while the engine is down. */
  private createRoute(
    method: string,
    path: RegExp,
    handle: StandInHandler,
  ): StandInRoute {
    return {
      method,
      path,
      handle: (request) => {
        if (!this.engine.isDown) return handle(request);
        request.response.socket?.resetAndDestroy();
        return undefined;
      },
    };
  }

  private applyOrder(request: StandInRequest): StandInAnswer {
    const order = parseBody(request.body, validateStandInOrderRequest);
    const {orders} = this.engine;
    if (orders.apply(order)) return createJsonAnswer({applied: true});
    return createJsonAnswer({applied: false, fencing: orders.fencing}, 409);
  }
}
