/** The operators' command line. */
export {ExitCode} from './exit_code.js';
export type {Terminal} from './command_context.js';
export {main} from './main.js';
export * from './commands/explain_command.js';
export * from './commands/failures_command.js';
export * from './log_lines.js';
