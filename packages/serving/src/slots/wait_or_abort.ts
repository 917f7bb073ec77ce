/** Waits for a promise or an abort, whichever comes first. */

/**
 * Waits for a promise.
 *
 * @param promise - the promise
 * @param signals - end the wait
 * @returns the value; undefined when one of the signals is aborted first
 */
export function waitOrAbort<T>(
  promise: PromiseLike<T>,
  ...signals: AbortSignal[]
): Promise<T | undefined> {
  if (signals.some((signal) => signal.aborted)) {
    return Promise.resolve(undefined);
  }
  return new Promise((resolve, reject) => {
    // Some signals outlive many waits and would accumulate listeners.
    const removeListeners = (): void => {
      for (const signal of signals) {
        signal.removeEventListener('abort', finish);
      }
    };
    const finish = (): void => {
      removeListeners();
      resolve(undefined);
    };
    for (const signal of signals) signal.addEventListener('abort', finish);
    promise.then(
      (value) => {
        removeListeners();
        resolve(value);
      },
      (reason: unknown) => {
        removeListeners();
        reject(reason instanceof Error ? reason : new Error(String(reason)));
      },
    );
  });
}
