/** Configurable faults of several kinds, each of which affects some requests. */
import type {FaultSelector} from '@savoryspur/schema';
import {FaultInjector} from './fault_injector.js';
import {SeededRandom} from './seeded_random.js';

/** Selectors by kind of fault; a kind that is left out keeps its selector. */
export type FaultSelectors<TKind extends string> = Partial<
  Record<TKind, FaultSelector>
>;

/** Fault injectors by kind of fault, with one random source for all of them. */
export class FaultTable<TKind extends string> {
  private readonly injectors = new Map<TKind, FaultInjector>();

  /**
   * @param kinds - all kinds of fault that the table knows
   * @param seed - seed of the random decisions
   */
  constructor(kinds: readonly TKind[], seed: number) {
    const random = new SeededRandom(seed);
    for (const kind of kinds) {
      this.injectors.set(kind, new FaultInjector(random));
    }
  }

  /**
   * Sets which requests the faults affect.
   *
   * @param selectors - fault selectors by kind of fault
   * @param seed - restarts the random decisions; when absent, their sequence
   *     continues
   */
  set(selectors: FaultSelectors<TKind>, seed?: number): void {
    const random = seed === undefined ? undefined : new SeededRandom(seed);
    for (const [kind, injector] of this.injectors) {
      if (random !== undefined) injector.reset(random);
      const selector = selectors[kind];
      if (selector !== undefined) injector.set(selector);
    }
  }

  /** Decides whether a fault affects the current request; counts it if so. */
  takeDecision(kind: TKind): boolean {
    return this.injectors.get(kind)?.takeDecision() ?? false;
  }

  /** Decides which kinds of fault affect the current request; counts them. */
  takeAllDecisions(): Set<TKind> {
    const kinds = new Set<TKind>();
    for (const [kind, injector] of this.injectors) {
      if (injector.takeDecision()) kinds.add(kind);
    }
    return kinds;
  }

  /** Reports how many requests each kind of fault has affected. */
  report(): Record<string, number> {
    const report: Record<string, number> = {};
    for (const [kind, injector] of this.injectors) {
      report[kind] = injector.countAffected();
    }
    return report;
  }
}
