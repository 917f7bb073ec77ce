/** Validates the lines of an input file. */
import {
  formatFieldError,
  type RequestLine,
  validateRequestLine,
} from '@savoryspur/schema';
import {CustomIdSet} from './custom_id_set.js';
import type {LineFault} from './errors.js';
import type {SplitLine} from './line_splitter.js';

/** Maximum number of invalid lines that are reported. */
const MAX_REPORTED_FAULTS = 50;

/** Byte values of white space: space, tab, carriage return. */
const WHITE_SPACE_BYTES = new Set([0x20, 0x09, 0x0d]);

/** Validates lines and collects their faults and endpoints. */
export class LineValidator {
  /** The first invalid lines, at most MAX_REPORTED_FAULTS. */
  readonly faults: LineFault[] = [];
  /** Number of all invalid lines. */
  faultCount = 0;
  /** Endpoints in the URLs of well-formed lines. */
  readonly endpoints = new Set<string>();

  private readonly customIds = new CustomIdSet();
  private readonly decoder = new TextDecoder('utf-8', {fatal: true});

  /**
   * Validates one line.
   *
   * @returns whether the line is a valid item; a blank line is neither an item
   *     nor a fault
   */
  validate(line: SplitLine): boolean {
    if (line.bytes === undefined) {
      this.addFault(line.number, 'the line is too long');
      return false;
    }
    if (line.bytes.every((byte) => WHITE_SPACE_BYTES.has(byte))) return false;
    const parsed = this.parseRequest(line.bytes);
    if (typeof parsed === 'string') {
      this.addFault(line.number, parsed);
      return false;
    }
    return this.checkCustomId(parsed, line.number);
  }

  /** Counts a fault; stores only the first ones. */
  addFault(line: number, message: string): void {
    this.faultCount += 1;
    if (this.faults.length >= MAX_REPORTED_FAULTS) return;
    this.faults.push({line, message});
  }

  private checkCustomId(request: RequestLine, line: number): boolean {
    this.endpoints.add(request.url);
    const first = this.customIds.add(request.custom_id, line);
    if (first === undefined) return true;
    const name = JSON.stringify(request.custom_id);
    this.addFault(line, `custom_id ${name} was used on line ${first}`);
    return false;
  }

  /** Parses a line; returns the request, or the fault as text. */
  private parseRequest(bytes: Buffer): RequestLine | string {
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
