/** Settable faults of several kinds, each met by some of the requests. */
import type {FaultSelector} from '@savoryspur/schema';
import {FaultInjector} from './fault_injector.js';
import {SeededRandom} from './seeded_random.js';

/** Injections by kind; kinds that are left out stay as they are. */
export type Injections<TKind extends string> = Partial<
  Record<TKind, FaultSelector>
>;

/** One injector for each kind of fault. */
export class FaultTable<TKind extends string> {
  private readonly injectors = new Map<TKind, FaultInjector>();

  /**
   * @param kinds - kinds of fault
   * @param seed - seed of the chances
   */
  constructor(kinds: readonly TKind[], seed: number) {
    const random = new SeededRandom(seed);
    for (const kind of kinds) {
      this.injectors.set(kind, new FaultInjector(random));
    }
  }

  /**
   * Sets which requests meet which fault.
   *
   * @param injections - injections by kind
   * @param seed - starts the chances anew; they go on when absent
   */
  set(injections: Injections<TKind>, seed?: number): void {
    const random = seed === undefined ? undefined : new SeededRandom(seed);
    for (const [kind, injector] of this.injectors) {
      if (random !== undefined) injector.reset(random);
      const injection = injections[kind];
      if (injection !== undefined) injector.set(injection);
    }
  }

  /** Decides whether the request at hand meets a fault, and counts it. */
  take(kind: TKind): boolean {
    return this.injectors.get(kind)?.take() ?? false;
  }

  /** Decides for every kind of fault. */
  takeAll(): Set<TKind> {
    const kinds = new Set<TKind>();
    for (const [kind, injector] of this.injectors) {
      if (injector.take()) kinds.add(kind);
    }
    return kinds;
  }

  /** Reports how many requests met each fault. */
  report(): Record<string, number> {
    const report: Record<string, number> = {};
    for (const [kind, injector] of this.injectors) {
      report[kind] = injector.count();
    }
    return report;
  }
}
