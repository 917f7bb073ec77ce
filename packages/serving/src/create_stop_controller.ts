/** Makes the controller that stops the tasks of one owner. */
import {setMaxListeners} from 'node:events';

/** Makes a controller whose signal any number of tasks may listen to. */
export function createStopController(): AbortController {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  return stop;
}
