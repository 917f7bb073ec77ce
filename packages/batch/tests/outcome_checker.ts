/** Compares the items of a job with the outcomes in its result files. */
import type {BatchObject, JobService} from '../src/index.js';
import {formatResultFileId, ResultKind} from '../src/keys.js';
import type {TestFleet} from './test_fleet.js';

/** Custom ids of items with a wrong number of outcomes or a changed outcome. */
export interface CheckReport {
  missing: string[];
  duplicated: string[];
  changed: string[];
}

/** Report of a job whose items each have one outcome that never changed. */
export const CLEAN_REPORT: CheckReport = {
  missing: [],
  duplicated: [],
  changed: [],
};

/** One line of a result file. */
export interface ResultLine {
  custom_id: string;
  response: {status_code: number; body: {echo?: string}} | null;
  error: {code: string} | null;
}

/** Reads and parses the lines of an input or result file. */
export async function readLines(
  fleet: TestFleet,
  service: JobService,
  workspace: string,
  fileId: string,
): Promise<ResultLine[]> {
  const run = async (): Promise<ResultLine[]> => {
    const opened = await service.readResults(workspace, fileId);
    if (opened.isErr()) throw opened.error;
    let text = '';
    for await (const bytes of opened.value) text += bytes.toString('utf8');
    const lines = text.split('\n').filter((line) => line !== '');
    return lines.map((line) => JSON.parse(line) as ResultLine);
  };
  return fleet.clock.waitSettled(run());
}

/** Checks the outcomes of one job over several reads. */
export class OutcomeChecker {
  /** First outcome that was read, by custom id. */
  private readonly firstLines = new Map<string, string>();
  private readonly changed = new Set<string>();

  constructor(
    private readonly fleet: TestFleet,
    private readonly service: JobService,
    private readonly workspace: string,
    private readonly jobId: string,
    private readonly customIds: readonly string[],
  ) {}

  /**
   * Reads all present outcomes and compares them with those of earlier reads.
   */
  async check(): Promise<CheckReport> {
    const counts = new Map<string, number>();
    for (const kind of [ResultKind.OUTPUT, ResultKind.ERROR]) {
      const fileId = formatResultFileId(this.jobId, kind);
      const {fleet, service, workspace} = this;
      for (const line of await readLines(fleet, service, workspace, fileId)) {
        counts.set(line.custom_id, (counts.get(line.custom_id) ?? 0) + 1);
        this.compare(line);
      }
    }
    for (const id of this.firstLines.keys()) {
      if (!counts.has(id)) this.changed.add(id);
    }
    return {
      missing: this.customIds.filter((id) => !counts.has(id)),
      duplicated: [...counts].filter(([, n]) => n > 1).map(([id]) => id),
      changed: [...this.changed],
    };
  }

  private compare(line: ResultLine): void {
    const text = JSON.stringify(line);
    const id = line.custom_id;
    const echo = line.response?.body.echo;
    const isForeignAnswer = echo !== undefined && echo !== id;
    const first = this.firstLines.get(id) ?? text;
    this.firstLines.set(id, first);
    if (isForeignAnswer || first !== text) this.changed.add(id);
  }
}

/** Uploads items and submits a job through the last host. */
export async function submitItems(
  fleet: TestFleet,
  items: number,
  workspace = 'fraser',
): Promise<{job: BatchObject; checker: OutcomeChecker; customIds: string[]}> {
  const host = fleet.hosts[fleet.hosts.length - 1]!;
  const customIds = Array.from({length: items}, (value, n) => `lot-${n}`);
  const file = await fleet.clock.waitSettled(
    host.service.createFile({
      workspace,
      filename: 'lots.jsonl',
      content: streamLines(customIds),
    }),
  );
  const submitted = await fleet.clock.waitSettled(
    host.service.submit({
      workspace,
      inputFileId: file._unsafeUnwrap().id,
      endpoint: '/v1/chat/completions',
      completionWindow: '24h',
      metadata: {},
    }),
  );
  const job = submitted._unsafeUnwrap();
  const {service} = fleet.reader;
  const checker = new OutcomeChecker(
    fleet,
    service,
    workspace,
    job.id,
    customIds,
  );
  return {job, checker, customIds};
}

/** Formats one line of an input file. */
export function formatLine(customId: string): string {
  return JSON.stringify({
    custom_id: customId,
    method: 'POST',
    url: '/v1/chat/completions',
    body: {model: 'assistant', messages: [{role: 'user', content: customId}]},
  });
}

/** Streams lines in blocks of bytes that do not end at line boundaries. */
export async function* streamLines(
  customIds: readonly string[],
): AsyncGenerator<Buffer> {
  const text = customIds.map((id) => `${formatLine(id)}\n`).join('');
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += 777) {
    yield bytes.subarray(start, start + 777);
  }
}
