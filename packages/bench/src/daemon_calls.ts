/** Sends chat calls to a daemon or directly to an engine. */
import {SystemClock} from '@savoryspur/common';
import {SITE_MODEL, SITE_WORKSPACES} from '@savoryspur/proofs';
import {Agent, request} from 'undici';

/** Calls to send, and where. */
export interface CallPlan {
  /** Base URL of a daemon or engine. */
  url: string;
  /** Total number of calls. */
  calls: number;
  /** Number of calls in flight at the same time. */
  concurrency: number;
  /** Maximum number of tokens in each answer. */
  maxTokens: number;
  /** Whether answers are streamed. */
  isStreamed: boolean;
}

const clock = new SystemClock();

/**
 * Sends calls in closed loops: each loop sends its next call when the answer to
 * the previous one is complete.
 *
 * @param plan - calls to send
 * @returns latency of each call, milliseconds, in ascending order
 */
export async function sendCalls(plan: CallPlan): Promise<number[]> {
  const agent = new Agent({connections: plan.concurrency, pipelining: 1});
  const latencies: number[] = [];
  let started = 0;
  const runLoop = async (): Promise<void> => {
    while (started < plan.calls) {
      started += 1;
      latencies.push(await sendCall(plan, agent, started));
    }
  };
  await Promise.all(Array.from({length: plan.concurrency}, runLoop));
  await agent.close();
  return latencies.sort((a, b) => a - b);
}

/**
 * Gets a percentile.
 *
 * @param sorted - values in ascending order
 * @param fraction - percentile as a fraction, such as 0.95
 */
export function getPercentile(
  sorted: readonly number[],
  fraction: number,
): number {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * fraction),
  );
  return sorted[index] ?? Number.NaN;
}

async function sendCall(
  plan: CallPlan,
  agent: Agent,
  index: number,
): Promise<number> {
  const startMs = clock.now();
  const answer = await request(`${plan.url}/v1/chat/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: {
      authorization: `Bearer ${SITE_WORKSPACES[0]!.secret}`,
      'content-type': 'application/json',
      'x-request-id': `bench-${startMs}-${index}`,
    },
    body: JSON.stringify({
      model: SITE_MODEL,
      messages: [{role: 'user', content: `lot ${startMs} ${index}`}],
      stream: plan.isStreamed,
      max_tokens: plan.maxTokens,
    }),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(text);
  return clock.now() - startMs;
}
