/** Rate limits of workspaces, enforced across all hosts. */
export * from './contract.js';
export * from './limits_router.js';
export * from './owner_bucket.js';
export * from './owner_service.js';
export * from './rate_limiter.js';
export * from './share_loans.js';
export * from './workspace_buckets.js';
