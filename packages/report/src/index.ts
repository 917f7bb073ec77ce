/**
 * Service-level objectives: recorded on each host, merged over the fleet, and
 * rendered as burn reports.
 */
export * from './burn_collector.js';
export * from './burn_report.js';
export * from './report_merger.js';
export {renderBurnPage} from './render_page.js';
export {renderBurnText, renderColumns} from './render_text.js';
export * from './service_level_recorder.js';
