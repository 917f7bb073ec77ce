/** The numbered guarantees of docs/PROMISES.md and the tests that verify them. */

/** One guarantee and the tests that verify it. */
export interface PromiseProof {
  /** Number of the guarantee in docs/PROMISES.md. */
  point: number;
  /** The guarantee in one sentence. */
  title: string;
  /**
   * Test files as `package/name`, without the file extension; empty when no
   * test verifies the guarantee.
   */
  files: string[];
}

/** All guarantees in the order of docs/PROMISES.md. */
export const PROMISE_PROOFS: readonly PromiseProof[] = [
  {
    point: 1,
    title: 'An accepted item completes exactly once',
    files: ['proofs/point_01_test', 'batch/faults_test', 'batch/schedule_test'],
  },
  {
    point: 2,
    title: 'A cancelled batch stops',
    files: ['proofs/point_02_test', 'batch/faults_test'],
  },
  {
    point: 3,
    title: 'Batch work does not delay online requests',
    files: ['proofs/point_03_proof'],
  },
  {
    point: 4,
    title: 'A request runs only for its workspace',
    files: ['proofs/point_04_test'],
  },
  {
    point: 5,
    title: 'No backend server sees a key',
    files: ['proofs/point_05_test'],
  },
  {
    point: 6,
    title: 'A withdrawn key stops working',
    files: ['proofs/point_06_test'],
  },
  {
    point: 7,
    title: 'No workspace exceeds its rate limit',
    files: ['proofs/point_07_test', 'limits/schedule_test'],
  },
  {
    point: 8,
    title: 'A cold server gets no more load than it can serve',
    files: ['proofs/routing_faults_proof'],
  },
  {
    point: 9,
    title: 'A zone out of service gets no new work',
    files: ['proofs/point_09_test'],
  },
  {
    point: 10,
    title: 'Each caller gets its own complete answer',
    files: ['proofs/point_10_test'],
  },
  {
    point: 11,
    title: 'A request reported as "not run" did not run',
    files: ['proofs/point_12_test'],
  },
  {
    point: 12,
    title: 'Non-idempotent calls run at most once',
    files: ['proofs/point_12_test'],
  },
  {
    point: 13,
    title: 'A removed server gets no new work',
    files: ['proofs/point_13_test'],
  },
  {
    point: 14,
    title: 'A planned stop interrupts no request',
    files: ['proofs/point_14_proof'],
  },
  {
    point: 15,
    title: 'Accepted configuration never reverts',
    files: ['proofs/point_15_test'],
  },
];
