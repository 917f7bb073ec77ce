/** Life cycle of a stand-in process. */
import process from 'node:process';

/**
 * Environment variable that, when it is `1`, makes a stand-in exit when its
 * standard input ends, so that it never outlives the process that started it.
 */
export const EXIT_WITH_PARENT_VARIABLE = 'TESTKIT_EXIT_WITH_PARENT';

/** A stand-in that is listening. */
export interface StartedStandIn {
  /** Port that the stand-in listens on. */
  port: number;
  /** Additional fields of the ready line. */
  details?: Record<string, unknown>;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/**
 * Runs a stand-in as the main program of a process. The process prints one
 * ready line as JSON when the stand-in listens. It exits with code 0 on SIGTERM
 * and with code 1 when the stand-in cannot start.
 *
 * @param start - starts the stand-in and resolves when it listens
 */
export async function runStandIn(
  start: () => Promise<StartedStandIn>,
): Promise<void> {
  let standIn: StartedStandIn;
  try {
    standIn = await start();
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    process.stderr.write(`${message}\n`);
    process.exit(1);
  }
  process.once('SIGTERM', () => {
    void standIn.close().finally(() => process.exit(0));
  });
  if (process.env[EXIT_WITH_PARENT_VARIABLE] === '1') watchParentExit();
  const readyLine = {ready: true, port: standIn.port, ...standIn.details};
  process.stdout.write(`${JSON.stringify(readyLine)}\n`);
}

function watchParentExit(): void {
  process.stdin.once('end', () => process.exit(0));
  process.stdin.resume();
}
