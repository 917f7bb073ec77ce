/** Log events of the serving path, numbers 8000 to 8999. */
import {type EventDefinition, EventLevel} from '../event_level.js';

/** Numbers of the log events of the serving path. */
export enum ServingEvent {
  PROCESS_STARTED = 8001,
  PROCESS_DRAINING = 8002,
  PROCESS_STOPPED = 8003,
  SETTINGS_RELOADED = 8004,
  LINES_DROPPED = 8005,
  UNEXPECTED_FAILURE = 8006,
  DRAIN_ENDED = 8007,
  TABLE_UNAVAILABLE = 8101,
  TABLE_RECOVERED = 8102,
  ENVIRONMENT_APPLIED = 8103,
  DOCUMENT_REJECTED = 8104,
  SERVER_ADDED = 8105,
  SERVER_DRAINING = 8106,
  SERVER_REMOVED = 8107,
  SERVER_ENTRY_EXPIRED = 8108,
  ZONE_EVACUATED = 8109,
  ZONE_RESTORED = 8110,
  STORE_UNAVAILABLE = 8111,
  STORE_RECOVERED = 8115,
  HEARTBEAT_FAILED = 8112,
  MEMBER_JOINED = 8113,
  MEMBER_LEFT = 8114,
  OWNER_CHANGED = 8201,
  OWNER_UNAVAILABLE = 8202,
  SERVER_SUSPENDED = 8203,
  HOLDER_EXPIRED = 8205,
  SERVERS_UNRESPONSIVE = 8206,
  SERVERS_RECOVERED = 8207,
  SERVERS_CUT_OFF = 8208,
  SERVERS_REACHED = 8209,
  SERVER_PACE_BEGAN = 8210,
  SERVER_PACE_ENDED = 8211,
  POOL_OVERLOADED = 8215,
  POOL_OVERLOAD_ENDED = 8216,
  SLOT_GRANTED = 8301,
  REQUEST_REFUSED = 8302,
  REQUEST_ATTEMPT_FAILED = 8303,
  REQUEST_ANSWERED = 8304,
  REQUEST_FAILED = 8305,
  REQUEST_ABANDONED = 8306,
  STREAM_RESUMED = 8307,
  REQUEST_QUARANTINED = 8308,
  SERVER_BROKE_OFF = 8309,
  PARTS_QUARANTINED = 8310,
  PARTS_RELEASED = 8311,
  PROMPT_CRASHES_NOT_STORED = 8312,
  STREAM_TAKEN_UP = 8313,
  STREAM_ORIGINS_NOT_STORED = 8314,
  STREAM_ORIGINS_LOADED = 8315,
  CALL_FORWARDED = 8316,
  FORWARD_REFUSED = 8317,
  FORWARDED_CALL_SERVED = 8318,
  JOB_ACCEPTED = 8401,
  JOB_REFUSED = 8402,
  JOB_CANCELLED = 8403,
  JOB_COMPLETED = 8404,
  JOB_TAKEN_OVER = 8405,
  ITEM_STARTED = 8406,
  ITEM_PREEMPTED = 8407,
  ITEM_ATTEMPT_FAILED = 8408,
  ITEM_RESULT_RECORDED = 8409,
  ITEM_DEAD_LETTERED = 8410,
  JOB_STORE_FAILED = 8411,
}

const {DEBUG, INFO, WARN, ERROR} = EventLevel;

/** Catalogue entries of the log events of the serving path. */
export const SERVING_EVENTS = new Map<number, EventDefinition>([
  [
    ServingEvent.PROCESS_STARTED,
    {level: INFO, text: 'The process has started.'},
  ],
  [
    ServingEvent.PROCESS_DRAINING,
    {level: INFO, text: 'The process received a stop signal and is draining.'},
  ],
  [
    ServingEvent.PROCESS_STOPPED,
    {level: INFO, text: 'The process has stopped.'},
  ],
  [
    ServingEvent.SETTINGS_RELOADED,
    {level: INFO, text: 'The settings file was reloaded.'},
  ],
  [
    ServingEvent.LINES_DROPPED,
    {
      level: WARN,
      text: 'Log lines were dropped because their volume exceeded its limit.',
    },
  ],
  [
    ServingEvent.UNEXPECTED_FAILURE,
    {
      level: ERROR,
      text: 'A task failed with an unexpected error.',
      action: 'Report the reason as a defect.',
    },
  ],
  [
    ServingEvent.DRAIN_ENDED,
    {
      level: INFO,
      text: 'The drain has ended; the process closes its connections.',
    },
  ],
  [
    ServingEvent.TABLE_UNAVAILABLE,
    {level: WARN, text: 'The watch of a table of the store is interrupted.'},
  ],
  [
    ServingEvent.TABLE_RECOVERED,
    {level: INFO, text: 'The watch of a table of the store has resumed.'},
  ],
  [
    ServingEvent.ENVIRONMENT_APPLIED,
    {level: INFO, text: 'A new environment is in force.'},
  ],
  [
    ServingEvent.DOCUMENT_REJECTED,
    {
      level: WARN,
      text: 'A document is not valid and is not used.',
      action: 'Find out who wrote it.',
    },
  ],
  [
    ServingEvent.SERVER_ADDED,
    {level: INFO, text: 'A backend server registered.'},
  ],
  [
    ServingEvent.SERVER_DRAINING,
    {level: INFO, text: 'A backend server is draining.'},
  ],
  [
    ServingEvent.SERVER_REMOVED,
    {level: INFO, text: 'A backend server was removed.'},
  ],
  [
    ServingEvent.SERVER_ENTRY_EXPIRED,
    {
      level: WARN,
      text: 'The entry of a backend server expired while the store was unavailable; the server stays in use for a short time.',
    },
  ],
  [
    ServingEvent.ZONE_EVACUATED,
    {
      level: INFO,
      text: 'An availability zone was evacuated; its backend servers get no work.',
    },
  ],
  [
    ServingEvent.ZONE_RESTORED,
    {
      level: INFO,
      text: 'The evacuation of an availability zone has ended; its backend servers get work again.',
    },
  ],
  [
    ServingEvent.STORE_UNAVAILABLE,
    {
      level: WARN,
      text: 'The store does not answer this daemon; its store calls are relayed by peers.',
      action: 'When this lasts, check the store and the network to the store.',
    },
  ],
  [
    ServingEvent.STORE_RECOVERED,
    {level: INFO, text: 'The store answers this daemon again.'},
  ],
  [
    ServingEvent.HEARTBEAT_FAILED,
    {level: WARN, text: 'The heartbeat could not be written to the store.'},
  ],
  [
    ServingEvent.MEMBER_JOINED,
    {level: INFO, text: 'A daemon joined the fleet.'},
  ],
  [
    ServingEvent.MEMBER_LEFT,
    {level: INFO, text: 'A daemon left the fleet or stopped its heartbeats.'},
  ],
  [
    ServingEvent.OWNER_CHANGED,
    {level: INFO, text: 'The owner of a pool or of the limits has changed.'},
  ],
  [
    ServingEvent.OWNER_UNAVAILABLE,
    {
      level: WARN,
      text: 'The owner of a pool or of the limits is unavailable; this daemon runs standalone with a reduced share.',
    },
  ],
  [
    ServingEvent.SERVER_SUSPENDED,
    {
      level: WARN,
      text: 'A backend server is suspended: it gets no work for a short time.',
    },
  ],
  [
    ServingEvent.HOLDER_EXPIRED,
    {
      level: WARN,
      text: 'A daemon stopped its heartbeats to the owner of a pool; its concurrency slots were freed.',
    },
  ],
  [
    ServingEvent.SERVERS_UNRESPONSIVE,
    {
      level: WARN,
      text: 'A zone or backend server is unresponsive; it gets no new work from this daemon until a connect succeeds.',
    },
  ],
  [
    ServingEvent.SERVERS_RECOVERED,
    {
      level: INFO,
      text: 'A connect to an unresponsive zone or backend server succeeded.',
    },
  ],
  [
    ServingEvent.SERVERS_CUT_OFF,
    {
      level: WARN,
      text: 'This daemon reaches no backend server; it calls them through other daemons.',
      action:
        'When it lasts, check the network between this host and the backend servers.',
    },
  ],
  [
    ServingEvent.SERVERS_REACHED,
    {level: INFO, text: 'This daemon reaches backend servers again.'},
  ],
  [
    ServingEvent.POOL_OVERLOADED,
    {
      level: WARN,
      text: 'The owner of a pool begins to refuse online requests.',
    },
  ],
  [
    ServingEvent.POOL_OVERLOAD_ENDED,
    {
      level: INFO,
      text: 'The owner of a pool has refused no online request for some seconds.',
    },
  ],
  [
    ServingEvent.SERVER_PACE_BEGAN,
    {
      level: INFO,
      text: 'A backend server has started or recovered: others are preferred to it until its calls are as fast as theirs.',
    },
  ],
  [
    ServingEvent.SERVER_PACE_ENDED,
    {
      level: INFO,
      text: 'A backend server has shown itself after its start or recovery and gets its share.',
    },
  ],
  [
    ServingEvent.SLOT_GRANTED,
    {
      level: DEBUG,
      text: 'A request got a concurrency slot on a backend server.',
    },
  ],
  [
    ServingEvent.REQUEST_REFUSED,
    {level: WARN, text: 'A request was refused before it ran.'},
  ],
  [
    ServingEvent.REQUEST_ATTEMPT_FAILED,
    {
      level: WARN,
      text: 'A call to a backend server ended without a usable answer.',
    },
  ],
  [
    ServingEvent.REQUEST_ANSWERED,
    {level: INFO, text: 'A request was answered.'},
  ],
  [
    ServingEvent.REQUEST_FAILED,
    {level: WARN, text: 'A request failed after it may have run.'},
  ],
  [
    ServingEvent.REQUEST_ABANDONED,
    {level: INFO, text: 'The caller left before the answer was complete.'},
  ],
  [
    ServingEvent.STREAM_RESUMED,
    {
      level: WARN,
      text: 'A stream was resumed by another call to a backend server.',
    },
  ],
  [
    ServingEvent.REQUEST_QUARANTINED,
    {
      level: WARN,
      text: 'A request that crashed backend servers is quarantined and refused from now on.',
      action: 'Look at the request with its workspace.',
    },
  ],
  [
    ServingEvent.SERVER_BROKE_OFF,
    {
      level: INFO,
      text: 'A server that broke off a call was probed to tell a crash from a lost answer.',
    },
  ],
  [
    ServingEvent.PARTS_QUARANTINED,
    {
      level: WARN,
      text: 'Requests with these prompt parts crash backend servers and are refused from now on.',
      action: 'Look at the requests with these parts.',
    },
  ],
  [
    ServingEvent.PARTS_RELEASED,
    {level: INFO, text: 'Prompt parts are no longer quarantined.'},
  ],
  [
    ServingEvent.PROMPT_CRASHES_NOT_STORED,
    {
      level: WARN,
      text: 'The crashes under prompt parts that this daemon saw could not be written; the write is repeated.',
    },
  ],
  [
    ServingEvent.STREAM_TAKEN_UP,
    {level: INFO, text: 'A caller takes a stream up after its last event.'},
  ],
  [
    ServingEvent.STREAM_ORIGINS_NOT_STORED,
    {
      level: WARN,
      text: 'The software versions of streams could not be read from the store or written to it.',
    },
  ],
  [
    ServingEvent.STREAM_ORIGINS_LOADED,
    {
      level: INFO,
      text: 'The software versions of the streams of all daemons were read at the start.',
    },
  ],
  [
    ServingEvent.CALL_FORWARDED,
    {
      level: INFO,
      text: 'Another daemon makes a call to a backend server that this daemon does not reach.',
    },
  ],
  [
    ServingEvent.FORWARD_REFUSED,
    {
      level: WARN,
      text: 'Another daemon refused or lost a call to a backend server that this daemon does not reach.',
    },
  ],
  [
    ServingEvent.FORWARDED_CALL_SERVED,
    {
      level: DEBUG,
      text: 'This daemon made a call to a backend server for another daemon.',
    },
  ],
  [ServingEvent.JOB_ACCEPTED, {level: INFO, text: 'A batch job was accepted.'}],
  [
    ServingEvent.JOB_REFUSED,
    {level: WARN, text: 'A batch job was not accepted.'},
  ],
  [
    ServingEvent.JOB_CANCELLED,
    {level: INFO, text: 'A batch job was cancelled by its caller.'},
  ],
  [
    ServingEvent.JOB_COMPLETED,
    {level: INFO, text: 'All items of a batch job have a result.'},
  ],
  [
    ServingEvent.JOB_TAKEN_OVER,
    {level: INFO, text: 'This daemon took over a batch job.'},
  ],
  [ServingEvent.ITEM_STARTED, {level: DEBUG, text: 'A batch item started.'}],
  [
    ServingEvent.ITEM_PREEMPTED,
    {
      level: DEBUG,
      text: 'A batch item was preempted: an online request needed its concurrency slot.',
    },
  ],
  [
    ServingEvent.ITEM_ATTEMPT_FAILED,
    {level: WARN, text: 'An attempt at a batch item failed.'},
  ],
  [
    ServingEvent.ITEM_RESULT_RECORDED,
    {level: INFO, text: 'A batch item has a result.'},
  ],
  [
    ServingEvent.ITEM_DEAD_LETTERED,
    {
      level: WARN,
      text: 'A batch item was dead-lettered: it ends without an output.',
    },
  ],
  [
    ServingEvent.JOB_STORE_FAILED,
    {
      level: WARN,
      text: 'A call to the store for a batch job failed; the daemon that runs the job retries its calls.',
    },
  ],
]);
