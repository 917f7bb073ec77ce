/** Checks the result files of batch jobs against their accepted items. */
import {buildPrompt, computeAnswer} from '../engine/answer_text.js';

/** One accepted batch item. */
export interface AcceptedItem {
  /** Id that the caller gave the item. */
  customId: string;
  /** Request body as it was submitted. */
  body: Record<string, unknown>;
}

/** Result of the check of one job. */
export interface OutcomeReport {
  /** Number of accepted items. */
  accepted: number;
  /** Number of items with an answer of status 200. */
  completed: number;
  /** Number of items with any other outcome. */
  failed: number;
  /** Accepted items without an outcome. */
  missing: string[];
  /** Items with more than one outcome. */
  doubled: string[];
  /** Items whose outcome differs from that of an earlier check. */
  changed: string[];
  /** Items whose answer is not the one to their prompt. */
  wrong: string[];
  /** Outcomes of items that were never accepted. */
  unexpected: string[];
}

/** Fields of a line of a result or error file that are read. */
interface ResultLine {
  custom_id: string;
  response?: {status_code: number; body: unknown} | null;
}

/** Fields of an answer that are read. */
interface AnswerBody {
  choices?: Array<{text?: string; message?: {content?: string}}>;
}

/** HTTP status of a successful answer. */
const STATUS_OK = 200;

/** Keeps the accepted items and the outcomes of earlier checks, by job. */
export class OutcomeChecker {
  private readonly acceptedByJob = new Map<string, Map<string, AcceptedItem>>();
  private readonly earlierOutcomes = new Map<string, string>();

  /**
   * Adds the items of an accepted job.
   *
   * @param jobId - id of the job
   * @param items - all accepted items of the job
   */
  add(jobId: string, items: readonly AcceptedItem[]): void {
    const itemsById = new Map(items.map((item) => [item.customId, item]));
    this.acceptedByJob.set(jobId, itemsById);
  }

  /**
   * Checks the outcomes of a job against its accepted items.
   *
   * @param jobId - id of the job
   * @param text - lines of the result file and error file of the job, JSON Lines
   */
  check(jobId: string, text: string): OutcomeReport {
    const items =
      this.acceptedByJob.get(jobId) ?? new Map<string, AcceptedItem>();
    const report = createReport(items.size);
    const seen = new Set<string>();
    for (const line of text.split('\n')) {
      if (line.trim() === '') continue;
      const result = JSON.parse(line) as ResultLine;
      this.checkLine(jobId, result, items, seen, report);
    }
    for (const customId of items.keys()) {
      if (!seen.has(customId)) report.missing.push(customId);
    }
    return report;
  }

  private checkLine(
    jobId: string,
    result: ResultLine,
    items: ReadonlyMap<string, AcceptedItem>,
    seen: Set<string>,
    report: OutcomeReport,
  ): void {
    const customId = result.custom_id;
    const item = items.get(customId);
    if (item === undefined) {
      report.unexpected.push(customId);
      return;
    }
    if (seen.has(customId)) report.doubled.push(customId);
    seen.add(customId);
    if (this.isChanged(jobId, result)) report.changed.push(customId);
    if (result.response?.status_code !== STATUS_OK) {
      report.failed += 1;
      return;
    }
    report.completed += 1;
    if (!isExpectedAnswer(item.body, result.response.body)) {
      report.wrong.push(customId);
    }
  }

  private isChanged(jobId: string, result: ResultLine): boolean {
    const key = `${jobId}\n${result.custom_id}`;
    const outcome = JSON.stringify(result);
    const earlier = this.earlierOutcomes.get(key);
    if (earlier === undefined) this.earlierOutcomes.set(key, outcome);
    return earlier !== undefined && earlier !== outcome;
  }
}

/**
 * Tells whether an answer is the right one to a request.
 *
 * @param request - body of the request
 * @param answer - body of the answer
 */
export function isExpectedAnswer(
  request: Record<string, unknown>,
  answer: unknown,
): boolean {
  const maxTokens = request.max_completion_tokens ?? request.max_tokens;
  const expected = computeAnswer(
    buildPrompt(request),
    typeof maxTokens === 'number' ? maxTokens : undefined,
  );
  const choice = (answer as AnswerBody).choices?.[0];
  return (choice?.message?.content ?? choice?.text) === expected;
}

/**
 * Lists the violations in a report, each as `kind: id`; failed items are not violations.
 *
 * @returns the violations; empty when all outcomes are right
 */
export function listViolations(report: OutcomeReport): string[] {
  const {missing, doubled, changed, wrong, unexpected} = report;
  const kinds = {missing, doubled, changed, wrong, unexpected};
  return Object.entries(kinds).flatMap(([kind, ids]) =>
    ids.map((id) => `${kind}: ${id}`),
  );
}

function createReport(accepted: number): OutcomeReport {
  return {
    accepted,
    completed: 0,
    failed: 0,
    missing: [],
    doubled: [],
    changed: [],
    wrong: [],
    unexpected: [],
  };
}
