/**
 * Types and validators of messages, stored rows, settings and environment
 * documents, generated from JSON Schema.
 */
export * from './create_validator.js';
export * from './generated/index.js';
