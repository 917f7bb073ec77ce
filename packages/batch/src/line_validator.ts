/** Checks the lines of an input file one by one. */
import {
  formatFieldError,
  type RequestLine,
  validateRequestLine,
} from '@savoryspur/schema';
import {CustomIdSet} from './custom_id_set.js';
import type {LineFault} from './errors.js';
import type {SplitLine} from './line_splitter.js';

/** Most faulty lines that are named. */
const MAX_NAMED_FAULTS = 50;

/** Bytes of white space: space, tab, carriage return. */
const WHITE_SPACE = new Set([0x20, 0x09, 0x0d]);

/** Checks lines and collects faults. */
export class LineValidator {
  /** The first faulty lines. */
  readonly faults: LineFault[] = [];
  /** Number of all faulty lines. */
  faultCount = 0;
  /** Endpoints that the good lines name. */
  readonly endpoints = new Set<string>();

  private readonly customIds = new CustomIdSet();
  private readonly decoder = new TextDecoder('utf-8', {fatal: true});

  /**
   * Checks one line.
   *
   * @returns whether the line is a good item; blank lines are none
   */
  check(line: SplitLine): boolean {
    if (line.bytes === undefined) {
      this.add(line.number, 'the line is too long');
      return false;
    }
    if (line.bytes.every((byte) => WHITE_SPACE.has(byte))) return false;
    const parsed = this.parse(line.bytes);
    if (typeof parsed === 'string') {
      this.add(line.number, parsed);
      return false;
    }
    return this.checkCustomId(parsed, line.number);
  }

  /** Adds a fault; only the first ones are kept. */
  add(line: number, message: string): void {
    this.faultCount += 1;
    if (this.faults.length >= MAX_NAMED_FAULTS) return;
    this.faults.push({line, message});
  }

  private checkCustomId(request: RequestLine, line: number): boolean {
    this.endpoints.add(request.url);
    const first = this.customIds.add(request.custom_id, line);
    if (first === undefined) return true;
    const name = JSON.stringify(request.custom_id);
    this.add(line, `custom_id ${name} was used on line ${first}`);
    return false;
  }

  /** Parses a line; gives what is wrong with it as text. */
  private parse(bytes: Buffer): RequestLine | string {
    let value: unknown;
    try {
      value = JSON.parse(this.decoder.decode(bytes));
    } catch (thrown) {
      return thrown instanceof SyntaxError ? 'not JSON' : 'not UTF-8';
    }
    const result = validateRequestLine(value);
    return result.isOk() ? result.value : formatFieldError(result.error);
  }
}
