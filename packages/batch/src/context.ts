/** Dependencies shared by the services and the worker of batch jobs. */
import type {Clock, EventLog} from '@savoryspur/common';
import type {
  ObjectStore,
  ReadBackOptions,
  TableService,
} from '@savoryspur/storage';
import type {BatchSettings} from '@savoryspur/schema';

/** Storage, clock, event log and settings. */
export interface BatchContext {
  table: TableService;
  objects: ObjectStore;
  clock: Clock;
  log: EventLog;
  settings: BatchSettings;
  /** Limits of the read-after-write check of a write whose answer was lost. */
  readBack?: ReadBackOptions;
}
