/** What all parts of batch serving need. */
import type {Clock, EventLog} from '@savoryspur/common';
import type {
  ObjectStore,
  ReadBackOptions,
  TableService,
} from '@savoryspur/storage';
import type {BatchSettings} from '@savoryspur/schema';

/** Platform, time, log and settings. */
export interface BatchContext {
  table: TableService;
  objects: ObjectStore;
  clock: Clock;
  log: EventLog;
  settings: BatchSettings;
  /** How hard to learn the outcome of a write whose answer was lost. */
  readBack?: ReadBackOptions;
}
