/** Aborts running requests whose API key is withdrawn. */
import type {EnvironmentSource} from '@savoryspur/common';

/** Watch on the key of one request. */
export interface KeyRevocationWatch {
  /** Aborts when the key is no longer active. */
  signal: AbortSignal;
  /** Ends the watch; `signal` no longer aborts. */
  stop(): void;
}

/** Watches the API keys of all running requests. */
export class KeyRevocationWatcher {
  private readonly watched = new Map<string, Set<AbortController>>();

  /**
   * @param environment - configuration with the active keys
   */
  constructor(environment: EnvironmentSource) {
    environment.subscribe((index) => {
      for (const [hash, controllers] of this.watched) {
        if (index.findActiveKey(hash)) continue;
        for (const controller of controllers) controller.abort();
      }
    });
  }

  /**
   * Watches a key until the returned watch is stopped.
   *
   * @param hash - SHA-256 of the key
   */
  watch(hash: string): KeyRevocationWatch {
    const controller = new AbortController();
    const controllers = this.watched.get(hash) ?? new Set();
    controllers.add(controller);
    this.watched.set(hash, controllers);
    const stop = (): void => {
      controllers.delete(controller);
      if (controllers.size === 0) this.watched.delete(hash);
    };
    return {signal: controller.signal, stop};
  }
}
