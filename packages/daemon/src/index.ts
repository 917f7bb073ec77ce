/** The daemon of an entry host. */
export {Daemon, type DaemonPorts} from './daemon.js';
export {DispatchRecord, RunState} from './http/dispatch_record.js';
export {convertFailure} from './http/failure_refusal.js';
export {buildRefusalBody, type Refusal} from './http/refusal.js';
export {matchPattern, RequestRouter} from './http/request_router.js';
export {parseSettings, readSettings} from './settings_file.js';
