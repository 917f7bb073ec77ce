/** Reads and validates the settings file (TOML) of a daemon. */
import {
  type FieldError,
  type Settings,
  validateSettings,
} from '@savoryspur/schema';
import {err, ok, type Result} from 'neverthrow';
import fs from 'node:fs';
import {parse} from 'smol-toml';

/**
 * Reads and validates a settings file.
 *
 * @param file - path of the file
 * @returns the settings with defaults filled in, or the first error
 */
export function readSettings(file: string): Result<Settings, FieldError> {
  let text: string;
  try {
    text = fs.readFileSync(file, 'utf8');
  } catch (thrown) {
    return err({
      field: '--settings',
      found: `no readable file at ${file}`,
      expected: 'a TOML file',
    });
  }
  return parseSettings(text);
}

/** Parses and validates the text of a settings file. */
export function parseSettings(text: string): Result<Settings, FieldError> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    return err({
      field: '(document)',
      found: reason.split('\n', 1)[0] ?? reason,
      expected: 'TOML',
    });
  }
  return validateSettings(value).andThen(checkLeaseTerms);
}

/**
 * Checks the relations between lease terms, which the JSON Schema can't
 * express.
 */
function checkLeaseTerms(settings: Settings): Result<Settings, FieldError> {
  const {heartbeatMs, delegationMs, slotTakeoverMs} = settings.leases;
  if (delegationMs < 2 * heartbeatMs) {
    return err({
      field: 'leases.delegationMs',
      found: String(delegationMs),
      expected: `at least twice leases.heartbeatMs, ${2 * heartbeatMs}`,
    });
  }
  if (slotTakeoverMs < 2 * delegationMs) {
    return err({
      field: 'leases.slotTakeoverMs',
      found: String(slotTakeoverMs),
      expected: `at least twice leases.delegationMs, ${2 * delegationMs}`,
    });
  }
  return ok(settings);
}
