/** Simulated model engine: requests, crashes with restarts, and reports. */
import type {Clock} from '@savoryspur/common';
import type {EngineStats, StandInModel, StandInLoad} from '@savoryspur/schema';
import {RequestRecord} from '../request_record.js';
import {SeededRandom} from '../seeded_random.js';
import {EngineFaultTable} from './engine_faults.js';
import {EngineLoad, type EngineSpeed} from './engine_load.js';
import {EngineOrders} from './engine_orders.js';
import {EngineStream, StreamEnd} from './engine_stream.js';
import {
  createUnrelatedStream,
  AnswerGenerator,
  type GenerationRequest,
} from './answer_generator.js';
import {PrefixCache} from './prefix_cache.js';

/** Speed, capacity and behaviour of an engine. */
export interface EngineOptions extends EngineSpeed {
  /** Seed of faults and of lost cache events. */
  seed: number;
  /** Whether the engine starts warm. */
  isWarm: boolean;
  /** Number of prompt prefixes that the cache holds. */
  cacheEntries: number;
  /** Delay until a cache event is published, milliseconds. */
  cacheLagMs: number;
  /** Probability that a cache event is never published. */
  cacheGapProbability: number;
  /** Refresh period of the load report, milliseconds. */
  loadLagMs: number;
  /** Time for which ended streams are kept for resumption, milliseconds. */
  keepMs: number;
  /** Downtime after a crash, milliseconds. */
  restartMs: number;
  /** Text in a prompt that crashes the engine. */
  crashMarker: string;
  /** Text in a prompt that is answered with 500 each time. */
  failMarker: string;
  /** Whether orders with an outdated fencing token are refused. */
  checksFencing: boolean;
  /** Base URL of the weight store; empty to load models without it. */
  weightUrl: string;
  /** Models that are loaded at the start. */
  models: StandInModel[];
  /** Role at the start. */
  role: string;
}

/** Completion request that an engine runs. */
export interface EngineRequest extends GenerationRequest {
  requestId: string;
  prompt: string;
  model: string;
}

/**
 * Engine without admission control: it starts every request that arrives. A
 * cold engine crashes when more requests run than its cold capacity.
 */
export class Engine {
  readonly load: EngineLoad;
  readonly cache: PrefixCache;
  readonly faults: EngineFaultTable;
  readonly orders: EngineOrders;
  readonly record: RequestRecord;
  /** Whether the engine is between a crash and its restart. */
  isDown = false;
  private readonly generator: AnswerGenerator;
  private readonly streams = new Map<string, EngineStream>();
  private loadReport: StandInLoad;
  private crashCount = 0;
  private resumedCount = 0;

  /**
   * @param options - speed, capacity and behaviour
   * @param clock - clock of all delays and reports
   * @param resetConnections - resets the connections of all requests
   */
  constructor(
    private readonly options: EngineOptions,
    private readonly clock: Clock,
    private readonly resetConnections: () => void,
  ) {
    const random = new SeededRandom(options.seed);
    this.record = new RequestRecord(clock);
    this.load = new EngineLoad(options, clock, options.isWarm);
    this.cache = new PrefixCache(
      {
        maxEntries: options.cacheEntries,
        lagMs: options.cacheLagMs,
        gapProbability: options.cacheGapProbability,
      },
      clock,
      random,
    );
    this.faults = new EngineFaultTable(options.seed);
    this.orders = new EngineOrders(options, clock, () => this.load.setCold(0));
    this.generator = new AnswerGenerator(this.load, this.cache, clock);
    this.loadReport = this.measureLoad();
  }

  /** Refreshes the load report periodically until the signal aborts. */
  async updateLoadReport(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.loadReport = this.measureLoad();
      await this.clock.sleep(this.options.loadLagMs, signal);
    }
  }

  /**
   * Starts a request.
   *
   * @returns stream to which the tokens of the answer are appended; it has
   *     already ended when the request overloaded the engine and crashed it
   */
  start(request: EngineRequest): EngineStream {
    const {requestId, prompt, model} = request;
    const stream = new EngineStream(requestId, prompt, model);
    this.streams.set(requestId, stream);
    const survives = this.load.addRunning();
    void this.run(stream, request);
    if (!survives) this.fail();
    return stream;
  }

  /** Finds the stream of a request, unless it is no longer kept. */
  findStream(requestId: string): EngineStream | undefined {
    return this.streams.get(requestId);
  }

  /**
   * Finds the stream of a request to resume it, and counts the resumption.
   *
   * @returns the stream; undefined when it is no longer kept, or when a fault
   *     prevents resumption
   */
  resumeStream(requestId: string): EngineStream | undefined {
    if (this.faults.forgetStreams) return undefined;
    const stream = this.streams.get(requestId);
    if (stream !== undefined) this.resumedCount += 1;
    return stream;
  }

  /**
   * Finds the newest stream of another request; creates an unrelated one when
   * there is none.
   */
  findOtherStream(stream: EngineStream): EngineStream {
    let found: EngineStream | undefined;
    for (const other of this.streams.values()) {
      if (other.requestId !== stream.requestId) found = other;
    }
    return found ?? createUnrelatedStream(stream.model);
  }

  /**
   * Crashes the engine: resets all connections, removes all streams and restarts
   * cold.
   */
  fail(): void {
    this.crashCount += 1;
    for (const stream of this.streams.values()) {
      stream.finish(StreamEnd.CRASHED);
    }
    this.streams.clear();
    this.cache.clear();
    this.load.reset();
    this.loadReport = this.measureLoad();
    this.resetConnections();
    void this.waitRestart();
  }

  /** Gets the load report of the last refresh. */
  getLoadReport(): StandInLoad {
    return this.loadReport;
  }

  /** Reports the state and all counters. */
  report(): EngineStats {
    return {
      boot: this.load.boot,
      isCold: this.load.isCold(),
      running: this.load.running,
      maxRunning: this.load.maxRunning,
      maxRunningCold: this.load.maxRunningCold,
      ...this.generator.counters,
      resumed: this.resumedCount,
      crashes: this.crashCount,
      faults: this.faults.report(),
      requests: this.record.reportCounts(),
      headers: this.record.reportHeaders(),
    };
  }

  private async waitRestart(): Promise<void> {
    const {boot} = this.load;
    this.isDown = true;
    await this.clock.sleep(this.options.restartMs);
    if (boot === this.load.boot) this.isDown = false;
  }

  private async run(
    stream: EngineStream,
    request: EngineRequest,
  ): Promise<void> {
    const isCrashing = request.prompt.includes(this.options.crashMarker);
    if (isCrashing) void this.failBeforeFirstToken(stream);
    await this.generator.run(stream, request);
    await this.clock.sleep(this.options.keepMs);
    if (this.streams.get(stream.requestId) !== stream) return;
    this.streams.delete(stream.requestId);
  }

  private async failBeforeFirstToken(stream: EngineStream): Promise<void> {
    const crashDelayMs = this.load.computeFirstTokenMs(false) / 2;
    await this.clock.sleep(crashDelayMs, stream.signal);
    if (stream.end === undefined) this.fail();
  }

  private measureLoad(): StandInLoad {
    return {
      running: this.load.running,
      queued: this.load.countQueued(),
      boot: this.load.boot,
      models: this.orders.models,
      role: this.orders.role,
    };
  }
}
