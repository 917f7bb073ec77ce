/** Command on rollouts: shows their state and history, as the operations port of a daemon has them. */
import {renderColumns} from '@savoryspur/report';
import {RolloutPhase, type EndedRollout} from '@savoryspur/schema';
import {err} from 'neverthrow';
import type {CommandContext, CommandResult, CommandSpec} from '../command.js';
import {runAction} from './environment_commands.js';

/** Path of the rollouts on the operations port. */
const ROLLOUTS_PATH = '/rollouts';

/** Decimals of a percentage. */
const PERCENT_DECIMALS = 1;

/** A rollout as a daemon reports it. */
interface ReportedRollout {
  service: string;
  isDecider: boolean;
  target?: string;
  phase?: string;
  reason?: string;
  requests: number;
  targetRequests: number;
  history: EndedRollout[];
}

/** Command `rollout`: shows the state and the history of rollouts. */
export const ROLLOUT_COMMAND: CommandSpec = {
  usage: 'rollout <action> [service]',
  description:
    'status or history: show rollouts; --url is the operations port of a daemon',
  options: [],
  run: (context) => runAction(context, ROLLOUT_ACTIONS),
};

const ROLLOUT_ACTIONS = new Map([
  [
    'status',
    (context: CommandContext) =>
      runReport(
        context,
        [
          'service',
          'target',
          'phase',
          'decider',
          'requests',
          'on target',
          'reason',
        ],
        listStatus,
      ),
  ],
  [
    'history',
    (context: CommandContext) =>
      runReport(
        context,
        [
          'service',
          'target',
          'phase',
          'requests',
          'on target',
          'seconds',
          'reason',
        ],
        listHistory,
      ),
  ],
]);

async function runReport(
  context: CommandContext,
  headings: string[],
  listRows: (rollout: ReportedRollout) => string[][],
): Promise<CommandResult> {
  const client = context.getClient(false);
  if (client.isErr()) return err(client.error);
  const answer = await client.value.get<{rollouts: ReportedRollout[]}>(
    ROLLOUTS_PATH,
  );
  return answer.map(({rollouts}) => {
    const [service] = context.args;
    const json = rollouts.filter(
      (rollout) => service === undefined || rollout.service === service,
    );
    const rows = json.flatMap((rollout) => listRows(rollout));
    const text =
      rows.length === 0 ? 'no rollouts' : renderColumns([headings, ...rows]);
    return {json, text: `${text}\n`};
  });
}

function listStatus(rollout: ReportedRollout): string[][] {
  const {service, target, phase, isDecider, reason} = rollout;
  return [
    [
      service,
      target ?? '',
      phase ?? 'not decided yet',
      isDecider ? 'this daemon' : 'another daemon',
      String(rollout.requests),
      formatShare(rollout),
      reason ?? '',
    ],
  ];
}

function listHistory({service, history}: ReportedRollout): string[][] {
  return history.map((ended) => [
    service,
    ended.target,
    ended.phase === RolloutPhase.COMPLETED ? 'completed' : 'rolled back',
    String(ended.requests),
    formatShare(ended),
    ((ended.endedMs - ended.startedMs) / 1000).toFixed(1),
    ended.reason ?? '',
  ]);
}

function formatShare(counts: {
  requests: number;
  targetRequests: number;
}): string {
  const share = counts.targetRequests / Math.max(1, counts.requests);
  return `${counts.targetRequests} (${(share * 100).toFixed(PERCENT_DECIMALS)}%)`;
}
