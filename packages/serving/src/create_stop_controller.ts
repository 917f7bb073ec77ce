/** Abort controllers that stop background tasks. */
import {setMaxListeners} from 'node:events';

/** Creates an abort controller whose signal accepts any number of listeners without a warning of Node.js. */
export function createStopController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}
